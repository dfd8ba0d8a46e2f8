// Package answerhead checks the status of HTTP answers before they are parsed: the parser takes 000 for 200, and statuses
// below 100 for those of interim answers.
package answerhead
