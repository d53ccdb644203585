// Package changes gets operators' edits accepted by the platform's table and reads the accepted ones back in order.
package changes
