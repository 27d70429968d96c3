// Answers that are no HTTP/1.1 (RFC 9112), and lines that are, though rare.
#ifndef TESTS_BROKEN_ANSWERS_H
#define TESTS_BROKEN_ANSWERS_H

#include <string>
#include <vector>

inline std::string with_zero(const char *before, const char *after)
{
	return std::string(before) + '\0' + after;
}

inline const std::vector<std::string> BROKEN_STATUS_LINES = {
	"HTTP/1.1 000 X",
	"HTTP/1.1 099 X",
	"HTTP/1.1 600 X",
	"HTTP/1.1 999 X",
	"HTTP/1.1 2 X",
	"HTTP/1.1 20 OK",
	"HTTP/1.1 0200 OK",
	"HTTP/1.1 2000 OK",
	"HTTP/1.1 2x0 OK",
	"HTTP/1.1 -20 OK",
	"HTTP/1.1  200 OK",
	"HTTP/1.1\t200 OK",
	"HTTP/1.1 200\tOK",
	"HTTP/1.1 200",
	"HTTP/1.1 200OK",
	"HTTP/2.0 200 OK",
	"HTTP/0.9 200 OK",
	"HTTP/1. 200 OK",
	"HTTP/1.10 200 OK",
	"HTTP/01.1 200 OK",
	"http/1.1 200 OK",
	" HTTP/1.1 200 OK",
	"\r\nHTTP/1.1 200 OK",
	"HTTP/1.1 200 O\x01K",
	"HTTP/1.1 200 O\x7fK",
	"HTTP/1.1 200 O\rK",
	with_zero("HTTP/1.1 200 ", "K"),
	"HTTP/1.1 101 Switching Protocols",
};

inline const std::vector<std::string> SOUND_STATUS_LINES = {
	"HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 299 \xc3\xa4\t(b)"};

inline const std::vector<std::string> BROKEN_FIELD_LINES = {
	"A b: 1",
	"A : 1",
	"A\t: 1",
	" A: 1",
	"\tA: 1",
	": 1",
	"A",
	"A\x01: 1",
	"A\x0b: 1",
	"A\x7f: 1",
	"A\x80: 1",
	"A\r: 1",
	"A\n: 1",
	"A(b): 1",
	"\"A\": 1",
	"A@b: 1",
	with_zero("A", ": 1"),
	"A: \x01",
	"A:\x01",
	"A: b\x0b",
	"A: b\x7f",
	"A: b\rc",
	"A: b\nc",
	with_zero("A: ", ""),
	with_zero("A: b", "c"),
	"Content-Length : 4",
	"Content-Length\x0b: 4",
	"Transfer-Encoding : chunked",
	"Transfer\x01-Encoding: chunked",
};

inline const std::vector<std::string> SOUND_FIELD_LINES = {
	"A:", "A: ", "A:b", "A: \t b\tc \t", "!#$%&'*+-.^_`|~9: \xff\"(,;"};

inline const std::vector<std::string> BROKEN_CHUNKS = {
	// Behind the bytes of a chunk.
	"f\r\nid: 2\ndata: b\n\nXY0\r\n\r\n",
	"f\r\nid: 2\ndata: b\n\n\rX0\r\n\r\n",
	"f\r\nid: 2\ndata: b\n\nX\n0\r\n\r\n",
	"d\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"f\r\nid: 2\ndata: b\n\n0\r\n\r\n",
	// The line with its size.
	"f\n"
	"id: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"f\rXid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"f X\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"f;a\x01\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"f;a\nb\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	" f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"0xf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"-f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"1000000000000000f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"\r\n\r\n",
	// The last one.
	"f\r\nid: 2\ndata: b\n\n\r\n0\n\n",
	"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\rX",
	"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\n",
	"f\r\nid: 2\ndata: b\n\n\r\n0 X\r\n\r\n",
};

inline const std::vector<std::string> SOUND_CHUNKS = {
	"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
	"00F;a=b;c=\"d e\"\r\nid: 2\ndata: b\n\n\r\n000\r\n\r\n",
	"f \t; a = b\r\nid: 2\ndata: b\n\n\r\n0;a\r\n\r\n",
	"6\r\nid: 2\n\r\n9\r\ndata: b\n\n\r\n0\r\nA: b\r\nB:\r\n\r\n",
};

// One answer for each line.
inline std::vector<std::string>
with_lines(const std::string &before, const std::vector<std::string> &lines,
	   const std::string &after)
{
	std::vector<std::string> out;

	for (const std::string &line : lines)
		out.push_back(before + line + "\r\n" + after);
	return out;
}

// Broken answers with a sound body behind broken lines or chunks.
inline std::vector<std::string> broken_answers(const std::string &body)
{
	const std::string length =
		"Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	std::vector<std::string> all, more;

	all = with_lines("", BROKEN_STATUS_LINES, length + body);
	more = with_lines(ok, BROKEN_FIELD_LINES, length + body);
	all.insert(all.end(), more.begin(), more.end());
	for (const std::string &chunks : BROKEN_CHUNKS)
		all.push_back(ok + "Transfer-Encoding: chunked\r\n\r\n" +
			      chunks);
	return all;
}

#endif
