//go:build !planted

package retry

// retryRunOnce is true only in builds with the tag planted, which test the soak.
const retryRunOnce = false
