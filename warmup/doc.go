// Package warmup bounds what runners get while they warm up, over all VMs together.
// It is pure; time is passed in.
package warmup
