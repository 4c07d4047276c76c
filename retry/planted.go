//go:build planted

package retry

// repeatsOnce is a fault planted for the soak, which has to find it: requests
// that may run once only are repeated.
const repeatsOnce = true
