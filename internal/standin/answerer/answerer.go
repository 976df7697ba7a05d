// Package answerer is a stand-in that answers HTTP requests with given bytes, which may be no
// sound answer, and has lists of such answers.
package answerer

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
)

// Answer is the text of an answer. {fields} in it stands for the fields that the client expects,
// each with its line end, {body} for the body, {length} for its length and {half} for half of that. {chunks}
// stands for the body in chunks, {extended} for the same with extensions, {trailed} with a trailer, {mistrailed} with a
// trailer whose name holds a blank, and {unended} without the last chunk.
type Answer string

const (
	name10       = "HTTP/1.0 200 OK\r\n{fields}"
	name11       = "HTTP/1.1 200 OK\r\n{fields}"
	withLength   = "Content-Length: {length}\r\n\r\n{body}"
	withChunks   = "Transfer-Encoding: chunked\r\n\r\n{chunks}"
	untilClosure = "\r\n{body}"
)

// Misnamed returns answers in whose heads the name of a field holds a byte that no name can have.
func Misnamed() map[string]Answer {
	return map[string]Answer{
		"blank before the colon":      name11 + "X-A : v\r\n" + withLength,
		"blank in a name":             name11 + "X-A B: v\r\n" + withLength,
		"blank in the second name":    "HTTP/1.1 200 OK\r\nX-A: a\r\nB b: v\r\n{fields}" + withLength,
		"blanks around a name":        name11 + "X-A: a\r\nB  : v\r\n" + withLength,
		"blank in a last name":        name11 + "Content-Length: {length}\r\nX y\t: v\r\n\r\n{body}",
		"blank after the length":      name11 + "Content-Length : {half}\r\n" + untilClosure,
		"blank after a second length": name11 + "Content-Length : {half}\r\n" + withLength,
		"blank in the length":         name11 + "Content- Length: {half}\r\n" + untilClosure,
		"blank after the encoding":    name11 + "Transfer-Encoding : chunked\r\n" + untilClosure,
		"encoding beside a length":    name11 + "Transfer-Encoding : chunked\r\n" + withLength,
		"blank in version 1.0":        name10 + "X-A : v\r\n" + untilClosure,
		"control byte in a name":      name11 + "X-\x01A: v\r\n" + withLength,
		"NUL in a name":               name11 + "X-A\x00: v\r\n" + withLength,
		"tab before the colon":        name11 + "X-A\t: v\r\n" + withLength,
		"DEL in a name":               name11 + "X-\x7fA: v\r\n" + withLength,
		"empty name":                  name11 + ": v\r\n" + withLength,
		"no colon":                    name11 + "X-A\r\n" + withLength,
	}
}

// Misstated returns answers without a final status.
func Misstated() map[string]Answer {
	out := make(map[string]Answer)
	for _, status := range []string{"000", "042", "099", "-01", "101", "600", "999"} {
		out["status "+status] = Answer("HTTP/1.1 "+status+" OK\r\n{fields}") + withLength
		out["status "+status+" to the end"] = Answer("HTTP/1.0 "+status+" OK\r\n{fields}") + untilClosure
	}
	return out
}

// Misversioned returns answers of versions that cannot answer a request of version 1.1.
func Misversioned() map[string]Answer {
	out := make(map[string]Answer)
	for _, version := range []string{"0.9", "0.0", "2.0", "9.9"} {
		out["version "+version] = Answer("HTTP/"+version+" 200 OK\r\n{fields}") + withLength
		out["version "+version+" to the end"] = Answer("HTTP/"+version+" 200 OK\r\n{fields}") + untilClosure
	}
	return out
}

// Misframed returns answers of version 1.0 with an encoding, which clients take for parts of their bodies.
func Misframed() map[string]Answer {
	return map[string]Answer{
		"chunks in 1.0":                      name10 + withChunks,
		"chunks in 1.0 and a length":         name10 + "Content-Length: {length}\r\n" + withChunks,
		"chunks in 1.0, in another spelling": name10 + "tRANSFER-eNCODING:chunked\r\n\r\n{chunks}",
		"chunks in 1.0 that is kept":         name10 + "Connection: keep-alive\r\nContent-Length: {length}\r\n" + withChunks,
		"chunks in 1.0 and bare newlines":    "HTTP/1.0 200 OK\n{fields}Transfer-Encoding: chunked\n\n{chunks}",
		"chunks in 1.0 after interim ones":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 103 Hints\r\nLink: a\r\n\r\n" + name10 + withChunks,
		"chunks in 1.0 in a long head":       name10 + Answer("X-Long: "+strings.Repeat("a", 12<<10)+"\r\n") + withChunks,
		"unknown encoding in 1.0":            name10 + "Transfer-Encoding: gzip\r\n" + untilClosure,
	}
}

// Cut returns answers that break off behind their bodies, which may be all that a reader of one value looks at.
func Cut() map[string]Answer {
	return map[string]Answer{
		"cut within its length":  name11 + "Content-Length: 1{length}\r\n\r\n{body}",
		"cut before a chunk":     name11 + "Transfer-Encoding: chunked\r\n\r\n{unended}",
		"cut before the trailer": name11 + "Transfer-Encoding: chunked\r\n\r\n{unended}0\r\n",
	}
}

// Malformed returns all answers with faulty heads.
func Malformed() map[string]Answer {
	return merged(Misnamed(), Misstated(), Misversioned(), Misframed())
}

// Broken returns all answers that must not be accepted.
func Broken() map[string]Answer { return merged(Malformed(), Cut()) }

func merged(parts ...map[string]Answer) map[string]Answer {
	out := make(map[string]Answer)
	for _, part := range parts {
		maps.Copy(out, part)
	}
	return out
}

// Sound returns answers that must be accepted.
func Sound() map[string]Answer {
	return map[string]Answer{
		"length":                     name11 + withLength,
		"length in 1.0":              name10 + withLength,
		"chunks":                     name11 + withChunks,
		"chunks and a length":        name11 + "Content-Length: {length}\r\n" + withChunks,
		"chunks with extension":      name11 + "Transfer-Encoding: chunked\r\n\r\n{extended}",
		"trailer":                    name11 + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n{trailed}",
		"to the end":                 name11 + untilClosure,
		"to the end, close":          name11 + "Connection: close\r\n" + untilClosure,
		"to the end in 1.0":          name10 + untilClosure,
		"encoding only in a value":   name10 + "X-A: Transfer-Encoding: chunked\r\n" + untilClosure,
		"encoding only in a fold":    name10 + "X-A: a\r\n Transfer-Encoding: chunked\r\n" + untilClosure,
		"encoding only in the body":  name10 + "X-Transfer-Encoding: chunked\r\n" + untilClosure,
		"encoding of an interim one": "HTTP/1.0 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + name10 + untilClosure,
		"blank in a trailer's name":  name11 + "Transfer-Encoding: chunked\r\n\r\n{mistrailed}",
		"blank in an interim name":   "HTTP/1.1 103 Hints\r\nX-A : v\r\n\r\n" + name11 + withLength,
		"folded value":               name11 + "X-A: a\r\n  b\r\n\tc\r\n" + withLength,
		"empty value":                name11 + "X-A:\r\n" + withLength,
		"high bytes in a value":      name11 + "X-A: caf\xc3\xa9 \xff\r\n" + withLength,
		"any token":                  name11 + "!#$%&'*+-.^_`|~09azAZ: v\r\n" + withLength,
		"bare newlines":              "HTTP/1.1 200 OK\n{fields}Content-Length: {length}\n\n{body}",
		"bare newlines in 1.0":       "HTTP/1.0 200 OK\n{fields}\n{body}",
		"interim answers":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + name11 + withLength,
		"interim answers in 1.0":     "HTTP/1.0 103 Hints\r\nLink: a\r\n\r\n" + name10 + untilClosure,
		"no reason":                  "HTTP/1.1 200\r\n{fields}" + withLength,
		"later minor version":        "HTTP/1.2 200 OK\r\n{fields}" + withLength,
		"blanks around the value":    name11 + "X-A:  \t v \t \r\n" + withLength,
	}
}

// isDelimited reports whether a client knows where the answer ends before the connection does.
func (a Answer) isDelimited() bool {
	text := string(a)
	isOld := strings.Contains(text, "HTTP/1.0 200")
	return !isOld && (strings.Contains(text, "\nContent-Length: {length}") || strings.Contains(text, "{chunks}") ||
		strings.Contains(text, "{extended}") || strings.Contains(text, "trailed}"))
}

// Text returns the bytes of the answer.
func (a Answer) Text(fields http.Header, body string) string {
	var lines strings.Builder
	_ = fields.Write(&lines) // does not fail
	chunks := func(extension, end string) string {
		half := len(body) / 2
		text := ""
		for _, part := range []string{body[:half], body[half:]} {
			if part != "" {
				text += fmt.Sprintf("%x%s\r\n%s\r\n", len(part), extension, part)
			}
		}
		return text + end
	}
	return strings.NewReplacer(
		"{fields}", lines.String(), "{body}", body, "{length}", strconv.Itoa(len(body)), "{half}", strconv.Itoa(len(body)/2),
		"{chunks}", chunks("", "0\r\n\r\n"), "{extended}", chunks(";a=b", "0\r\n\r\n"), "{trailed}", chunks("", "0\r\nX-T: t\r\n\r\n"),
		"{mistrailed}", chunks("", "0\r\nX-T : t\r\n\r\n"), "{unended}", chunks("", ""),
	).Replace(string(a))
}
