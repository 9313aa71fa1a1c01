// Package poison finds the requests that crash each server that runs them (also
// called queries of death), so that they are refused before they have taken a whole
// service down. It is a pure state: the caller tells it what it saw, and when.
package poison
