#include "testing/response_forms.hpp"

#include <utility>

namespace pollenreel::testing {

namespace {

using forms = std::vector<response_form>;

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string length_2 = "Content-Length: 2\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";

std::string message(const std::string& status_line, const std::string& fields,
                    const std::string& body) {
    return status_line + "@" + fields + "\r\n" + body;
}

std::string ok(const std::string& fields, const std::string& body = "ok") {
    return message(ok_line, fields, body);
}

std::string with_status(const std::string& status) {
    return message("HTTP/1.1 " + status + "\r\n", length_2, "ok");
}

// RFC 9112, section 4; RFC 9110, section 15.
forms broken_status_lines() {
    return {
        {"status 000", with_status("000 None"), after_reply::keeps, {}},
        {"status 000, then a reset",
         with_status("000 None"),
         after_reply::resets,
         {}},
        {"status 099", with_status("099 None"), after_reply::keeps, {}},
        {"status 600", with_status("600 None"), after_reply::keeps, {}},
        {"status 999", with_status("999 None"), after_reply::keeps, {}},
        {"a status of two digits",
         with_status("20 OK"),
         after_reply::closes,
         {}},
        {"a status of four digits",
         with_status("2000 OK"),
         after_reply::closes,
         {}},
        {"a status with a letter",
         with_status("2x0 OK"),
         after_reply::closes,
         {}},
        {"a negative status", with_status("-20 OK"), after_reply::closes, {}},
        {"no status", with_status(""), after_reply::closes, {}},
        {"no blank after the status",
         with_status("200"),
         after_reply::closes,
         {}},
        {"two blanks before the status",
         with_status(" 200 OK"),
         after_reply::closes,
         {}},
        {"a control byte in the reason",
         with_status("200 O\x01K"),
         after_reply::closes,
         {}},
        {"another major version",
         message("HTTP/2.0 200 OK\r\n", length_2, "ok"),
         after_reply::closes,
         {}},
        {"a version in lower case",
         message("http/1.1 200 OK\r\n", length_2, "ok"),
         after_reply::closes,
         {}},
        {"another protocol",
         message("ICY 200 OK\r\n", length_2, "ok"),
         after_reply::closes,
         {}},
        {"an empty line first", "\r\n" + ok(length_2), after_reply::closes, {}},
        {"a body without a head", "ok", after_reply::closes, {}},
        {"lines that end without a carriage return",
         "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
         after_reply::closes,
         {}},
    };
}

// RFC 9110, section 15.2: they come before a final response and are none.
forms broken_interim_responses() {
    const std::string named = message("HTTP/1.1 100 Continue\r\n", "", "");
    return {
        {"100 alone", named, after_reply::closes, {}},
        {"100 alone, then a reset", named, after_reply::resets, {}},
        {"103 with a body alone",
         message("HTTP/1.1 103 Early Hints\r\n", length_2, "ok"),
         after_reply::closes,
         {}},
        {"199 alone",
         message("HTTP/1.1 199 Other\r\n", "", ""),
         after_reply::closes,
         {}},
        {"101, which nobody asked for",
         message("HTTP/1.1 101 Switching Protocols\r\n", "Upgrade: x\r\n", ""),
         after_reply::closes,
         {}},
        {"101, then a whole response",
         message("HTTP/1.1 101 Switching Protocols\r\n", "Upgrade: x\r\n", "") +
             ok(length_2),
         after_reply::closes,
         {}},
        {"100 with a transfer coding",
         "HTTP/1.1 100 Continue\r\n" + chunked + "\r\n" + ok(length_2),
         after_reply::closes,
         {}},
        {"100, then status 000",
         interim + with_status("000 None"),
         after_reply::keeps,
         {}},
        {"100, then half a head",
         interim + ok_line + "@Content-Le",
         after_reply::closes,
         {}},
    };
}

std::string with_name(const std::string& line) {
    return ok(line + "\r\n" + length_2);
}

// RFC 9110, section 5; RFC 9112, section 5.
forms broken_fields() {
    const std::string nul(1, '\0');
    return {
        {"a blank in a name", with_name("X Y: 1"), after_reply::keeps, {}},
        {"a blank before the colon",
         with_name("X-Y : 1"),
         after_reply::keeps,
         {}},
        {"a tab before the colon",
         with_name("X-Y\t: 1"),
         after_reply::keeps,
         {}},
        {"a control byte in a name",
         with_name("X\x01Y: 1"),
         after_reply::keeps,
         {}},
        {"NUL in a name",
         with_name("X" + nul + "Y: 1"),
         after_reply::keeps,
         {}},
        {"DEL in a name", with_name("X\x7fY: 1"), after_reply::keeps, {}},
        {"a byte over 127 in a name",
         with_name("X\xc3\xa9: 1"),
         after_reply::keeps,
         {}},
        {"a parenthesis in a name",
         with_name("X(Y): 1"),
         after_reply::keeps,
         {}},
        {"no name", with_name(": 1"), after_reply::keeps, {}},
        {"no colon", with_name("X-Y"), after_reply::keeps, {}},
        {"a control byte in the name of Transfer-Encoding",
         ok("Transfer-\x0b"
            "Encoding: chunked\r\n" +
            length_2),
         after_reply::keeps,
         {}},
        {"a blank before the colon of Content-Length",
         ok("Content-Length : 2\r\n"),
         after_reply::closes,
         {}},
        {"a folded line without a field",
         ok_line + " X-Y: 1\r\n" + "@" + length_2 + "\r\nok",
         after_reply::keeps,
         {}},
        {"NUL in a value",
         with_name("X-Y: a" + nul + "b"),
         after_reply::keeps,
         {}},
        {"a control byte in a value",
         with_name("X-Y: a\x01"
                   "b"),
         after_reply::keeps,
         {}},
        {"DEL in a value", with_name("X-Y: a\x7f"), after_reply::keeps, {}},
        {"a carriage return in a value",
         with_name("X-Y: a\rb"),
         after_reply::keeps,
         {}},
        {"a line feed in a value",
         with_name("X-Y: a\nb"),
         after_reply::keeps,
         {}},
        {"half a head", ok_line + "@Content-Le", after_reply::closes, {}},
        {"a head without its empty line",
         ok_line + "@" + length_2,
         after_reply::closes,
         {}},
    };
}

// RFC 9112, section 6.2.
forms broken_lengths() {
    const auto body_of = [](const std::string& length) {
        return ok("Content-Length: " + length + "\r\n");
    };
    return {
        {"two lengths that differ", body_of("2, 3"), after_reply::closes, {}},
        {"two fields of lengths that differ",
         ok(length_2 + "Content-Length: 1\r\n"),
         after_reply::closes,
         {}},
        {"a negative length", body_of("-2"), after_reply::closes, {}},
        {"a length with a sign", body_of("+2"), after_reply::closes, {}},
        {"a length that is no number", body_of("two"), after_reply::closes, {}},
        {"a hexadecimal length", body_of("0x2"), after_reply::closes, {}},
        {"a length with a blank in it",
         body_of("2 2"),
         after_reply::closes,
         {}},
        {"a length that is empty", body_of(""), after_reply::closes, {}},
        {"a length beyond 64 bits",
         body_of("18446744073709551618"),
         after_reply::closes,
         {}},
        {"a body cut short", body_of("9"), after_reply::closes, {}},
        {"a body cut short by a reset", body_of("9"), after_reply::resets, {}},
        {"a body without a length, then a reset",
         ok(""),
         after_reply::resets,
         {}},
        {"a length and chunks",
         ok(length_2 + chunked, "2\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"chunks and a length",
         ok(chunked + length_2, "2\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"204 with a body",
         message("HTTP/1.1 204 No Content\r\n", length_2, "ok"),
         after_reply::closes,
         {}},
        {"204 with chunks",
         message("HTTP/1.1 204 No Content\r\n", chunked,
                 "2\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
    };
}

// RFC 9112, section 6.1: only the chunked coding is spoken here.
forms broken_codings() {
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    const auto body_in = [&](const std::string& coding) {
        return ok("Transfer-Encoding: " + coding + "\r\n", chunks);
    };
    return {
        {"a coding that is not spoken",
         body_in("gzip"),
         after_reply::closes,
         {}},
        {"an unknown coding", body_in("x-unknown"), after_reply::closes, {}},
        {"the identity coding", body_in("identity"), after_reply::closes, {}},
        {"a coding that is not spoken below chunks",
         body_in("gzip, chunked"),
         after_reply::closes,
         {}},
        {"the same in two fields",
         ok("Transfer-Encoding: gzip\r\n" + chunked, chunks),
         after_reply::closes,
         {}},
        {"a coding above chunks",
         body_in("chunked, gzip"),
         after_reply::closes,
         {}},
        {"chunked twice", body_in("chunked, chunked"), after_reply::closes, {}},
        {"chunked twice in two fields",
         ok(chunked + chunked, chunks),
         after_reply::closes,
         {}},
        {"chunked with a parameter",
         body_in("chunked;a=b"),
         after_reply::closes,
         {}},
        {"chunked in quotes", body_in("\"chunked\""), after_reply::closes, {}},
        {"a name that ends like chunked",
         body_in("xchunked"),
         after_reply::closes,
         {}},
        {"two words", body_in("chunked x"), after_reply::closes, {}},
        {"no coding in the field", body_in(""), after_reply::closes, {}},
        {"a coding that is not spoken and a length",
         ok("Transfer-Encoding: gzip\r\n" + length_2),
         after_reply::closes,
         {}},
        {"a length and a coding that is not spoken",
         ok(length_2 + "Transfer-Encoding: gzip\r\n"),
         after_reply::closes,
         {}},
        {"identity and a length",
         ok("Transfer-Encoding: identity\r\n" + length_2),
         after_reply::closes,
         {}},
        {"chunks in HTTP/1.0",
         message("HTTP/1.0 200 OK\r\n", chunked, chunks),
         after_reply::closes,
         {}},
    };
}

// RFC 9112, section 7.1.
forms broken_chunks() {
    const auto body = [](const std::string& bytes) {
        return ok(chunked, bytes);
    };
    return {
        {"no chunk size", body("\r\nok\r\n0\r\n\r\n"), after_reply::closes, {}},
        {"a chunk size that is no number",
         body("x\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"a negative chunk size",
         body("-2\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"a chunk size with a prefix",
         body("0x2\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"a chunk size beyond 64 bits",
         body("10000000000000002\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"a blank after the chunk size",
         body("2 \r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"a chunk longer than its size",
         body("1\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"a chunk shorter than its size",
         body("3\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"a chunk line that ends without a carriage return",
         body("2\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"a control byte in a chunk's extension",
         body("2;a=\"\n\"\r\nok\r\n0\r\n\r\n"),
         after_reply::closes,
         {}},
        {"no last chunk", body("2\r\nok\r\n"), after_reply::closes, {}},
        {"no last chunk, then a reset",
         body("2\r\nok\r\n"),
         after_reply::resets,
         {}},
        {"a last chunk without the end of the body",
         body("2\r\nok\r\n0\r\n"),
         after_reply::closes,
         {}},
        {"trailers cut short",
         body("2\r\nok\r\n0\r\nX-Y: 1\r\n"),
         after_reply::closes,
         {}},
        {"a blank in a trailer's name",
         body("2\r\nok\r\n0\r\nX Y: 1\r\n\r\n"),
         after_reply::closes,
         {}},
    };
}

forms sound_responses() {
    const response_form::delivered whole{200, "ok"};
    const response_form::delivered empty{200, ""};
    return {
        {"a length", ok(length_2), after_reply::keeps, whole},
        {"a length of zero", ok("Content-Length: 0\r\n", ""),
         after_reply::keeps, empty},
        {"a length with leading zeros", ok("Content-Length: 002\r\n"),
         after_reply::keeps, whole},
        {"one length twice", ok(length_2 + length_2), after_reply::keeps,
         whole},
        {"one length twice in a field", ok("Content-Length: 2, 2\r\n"),
         after_reply::keeps, whole},
        {"a length, then a reset", ok(length_2), after_reply::resets, whole},
        {"chunks", ok(chunked, "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"),
         after_reply::keeps, whole},
        {"chunks in upper case",
         ok("Transfer-Encoding: Chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
         after_reply::keeps, whole},
        {"an empty element beside chunked",
         ok("Transfer-Encoding: , chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
         after_reply::keeps, whole},
        {"a chunk's extensions",
         ok(chunked, "2;a;b=c;d=\"e f\"\r\nok\r\n0;g\r\n\r\n"),
         after_reply::keeps, whole},
        {"trailers", ok(chunked, "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n"),
         after_reply::keeps, whole},
        {"a body that ends with the connection", ok(""), after_reply::closes,
         whole},
        {"the same, half closed", ok(""), after_reply::half_closes, whole},
        {"no body that ends with the connection", ok("", ""),
         after_reply::closes, empty},
        {"HTTP/1.0 with a length",
         message("HTTP/1.0 200 OK\r\n", length_2, "ok"), after_reply::closes,
         whole},
        {"HTTP/1.0 without a length", message("HTTP/1.0 200 OK\r\n", "", "ok"),
         after_reply::closes, whole},
        {"no reason", with_status("200 "), after_reply::keeps, whole},
        {"a byte over 127 in the reason", with_status("200 \xc3\xa9"),
         after_reply::keeps, whole},
        {"an empty value", with_name("X-Y:"), after_reply::keeps, whole},
        {"a tab and bytes over 127 in a value", with_name("X-Y: a\tb\xc3\xa9"),
         after_reply::keeps, whole},
        {"all marks that a name may have",
         with_name("!#$%&'*+-.^_`|~09azAZ: 1"), after_reply::keeps, whole},
        {"a folded value", with_name("X-Y: a\r\n b"), after_reply::keeps,
         whole},
        {"100 first", interim + ok(length_2), after_reply::keeps, whole},
        {"100 that names the request first",
         message("HTTP/1.1 100 Continue\r\n", "", "") + ok(length_2),
         after_reply::keeps, whole},
        {"103 and others first",
         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 "
         "Processing\r\n\r\nHTTP/1.1 199 Other\r\n\r\n" +
             interim + interim + interim + ok(length_2),
         after_reply::keeps, whole},
        {"100 with a length of zero first",
         "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + ok(length_2),
         after_reply::keeps, whole},
        {"204", message("HTTP/1.1 204 No Content\r\n", "", ""),
         after_reply::keeps, response_form::delivered{204, ""}},
        {"204 with a length of zero",
         message("HTTP/1.1 204 No Content\r\n", "Content-Length: 0\r\n", ""),
         after_reply::keeps, response_form::delivered{204, ""}},
        {"304 with the length of what it stands for",
         message("HTTP/1.1 304 Not Modified\r\n", length_2, ""),
         after_reply::keeps, response_form::delivered{304, ""}},
        {"the least status of a failure", with_status("400 Bad Request"),
         after_reply::keeps, response_form::delivered{400, "ok"}},
        {"a status without a name", with_status("299 Other"),
         after_reply::keeps, response_form::delivered{299, "ok"}},
        {"the greatest status", with_status("599 Other"), after_reply::keeps,
         response_form::delivered{599, "ok"}},
    };
}

} // namespace

const std::vector<response_form>& response_forms() {
    static const forms all = [] {
        forms list;
        for (auto part : {broken_status_lines(), broken_interim_responses(),
                          broken_fields(), broken_lengths(), broken_codings(),
                          broken_chunks(), sound_responses()}) {
            for (auto& f : part) {
                list.push_back(std::move(f));
            }
        }
        return list;
    }();
    return all;
}

std::string with_fields(std::string bytes, const std::string& fields) {
    for (auto at = bytes.find('@'); at != std::string::npos;
         at = bytes.find('@', at + fields.size())) {
        bytes.replace(at, 1, fields);
    }
    return bytes;
}

} // namespace pollenreel::testing
