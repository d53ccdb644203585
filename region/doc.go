// Package region says in which regions the data of a request may be.
package region
