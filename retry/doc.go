// Package retry decides whether a request may be sent again, and bounds how many retries reach each endpoint.
package retry
