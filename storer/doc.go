// Package storer wraps the platform's table service and object store with
// timeouts, retries, a circuit breaker and the instance's share of the budget.
package storer
