//go:build !planted

package retry

// retryRunOnce is true only in builds with the tag planted, which check that the
// soak test detects this fault: requests that may run only once are retried.
const retryRunOnce = false
