// Package answerhead checks the heads of HTTP answers before they are parsed. The parser accepts blanks in the names of
// fields, by which a field that frames or identifies the answer is lost or won; it takes status 000 for 200, and statuses
// below 100 for those of interim answers. An answer that is rejected here proves nothing about its request.
package answerhead
