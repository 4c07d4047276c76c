//go:build !planted

package retry

// repeatsOnce stays false but in programs built to test the soak.
const repeatsOnce = false
