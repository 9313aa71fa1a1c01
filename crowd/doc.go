// Package crowd holds tests in which many clients misuse the listeners of real processes. A process
// must neither end nor exceed the memory and the descriptors of its VM, and must answer an ordinary
// request afterwards. The tests need the machine for themselves and run one at a time.
package crowd
