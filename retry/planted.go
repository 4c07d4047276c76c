//go:build planted

package retry

// retryRunOnce is a fault that the soak test must detect: requests that may run
// only once are retried.
const retryRunOnce = true
