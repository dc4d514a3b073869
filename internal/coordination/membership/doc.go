// Package membership judges which instances may be given work, and chooses the
// owner of each backend server among them.
//
// Its view is the platform's list of instances, which lags, corrected by what
// this process saw itself: links that could not be made, links that were made,
// and peers that said that they are leaving. It sends no heartbeats, so its
// cost per instance does not grow with the number of instances beyond reading
// the list. See docs/design/membership.md.
package membership
