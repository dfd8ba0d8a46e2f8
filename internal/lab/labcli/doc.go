// Package labcli holds the commands of thorntiller-lab: the stand-ins, the
// demonstration, and the runs that prove or measure the product.
package labcli
