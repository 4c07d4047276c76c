package main

import (
	"fmt"
	"io"
	"os"

	"ragwortpond.example/ragwortpond/measure/testbed"
)

// printAdminSetup prints the environment variables for administering a running
// fleet with this command line. It writes the authority's certificate to a
// temporary file, which the returned function removes.
func printAdminSetup(w io.Writer, b *testbed.Testbed) (remove func(), err error) {
	f, err := os.CreateTemp("", "ragwort-authority-*.pem")
	if err != nil {
		return nil, err
	}
	remove = func() { os.Remove(f.Name()) }
	_, err = f.Write(b.AuthorityCertPEM())
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		remove()
		return nil, err
	}
	fmt.Fprintf(w, "\nexport RAGWORT_SERVER=%s\n", b.Routers()[0].OperatorURL())
	fmt.Fprintf(w, "export RAGWORT_AUTHORITY=%s\n", f.Name())
	for _, o := range b.Snapshot().Operators {
		fmt.Fprintf(w, "export RAGWORT_TOKEN=%s  # operator %s, role %s, subtree %q\n", b.OperatorTokens[o.Name], o.Name, o.Role, o.Subtree)
	}
	fmt.Fprintln(w)
	return remove, nil
}
