// Package residency tells in which regions a request may be processed and its data
// may be kept.
package residency
