// Package doccheck holds tests that compare the documents with the code.
package doccheck
