//go:build planted

package retry

// retryRunOnce is a deliberate fault: requests that may run only once are retried.
// It is true only in builds with the tag planted, which check that the soak test
// detects this fault.
const retryRunOnce = true
