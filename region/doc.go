// Package region represents the regions in which a request's data may be processed.
package region
