// Package capacity computes what each role costs at the full size that the project
// is built for (docs/CAPACITY.md). The benchmarks in its test files measure costs
// per unit (Slopes) of the real code on loopback with small stand-ins; ControlCosts
// and LogReaders multiply them by the numbers of the full size. The benchmarks
// assert no times.
package capacity
