#include "testing/response_forms.hpp"

#include <fmt/format.h>

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

response_form broken(std::string name, std::string bytes,
                     after_reply then = after_reply::closes) {
    return {std::move(name), std::move(bytes), then, std::nullopt};
}

std::string with_status(const std::string& status) {
    return message("HTTP/1.1 " + status + "\r\n", length_2, "ok");
}

// RFC 9112, section 4; RFC 9110, section 15.
forms broken_status_lines() {
    return {
        broken("status 000", with_status("000 None"), after_reply::keeps),
        broken("status 000, then a reset", with_status("000 None"),
               after_reply::resets),
        broken("status 099", with_status("099 None"), after_reply::keeps),
        broken("status 600", with_status("600 None"), after_reply::keeps),
        broken("status 999", with_status("999 None"), after_reply::keeps),
        broken("a status of two digits", with_status("20 OK")),
        broken("a status of four digits", with_status("2000 OK")),
        broken("a status with a letter", with_status("2x0 OK")),
        broken("a negative status", with_status("-20 OK")),
        broken("no status", with_status("")),
        broken("no blank after the status", with_status("200")),
        broken("two blanks before the status", with_status(" 200 OK")),
        broken("a control byte in the reason", with_status("200 O\x01K")),
        broken("another major version",
               message("HTTP/2.0 200 OK\r\n", length_2, "ok")),
        broken("a version in lower case",
               message("http/1.1 200 OK\r\n", length_2, "ok")),
        broken("another protocol", message("ICY 200 OK\r\n", length_2, "ok")),
        broken("an empty line first", "\r\n" + ok(length_2)),
        broken("a body without a head", "ok"),
        broken("lines that end without a carriage return",
               "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"),
    };
}

// RFC 9110, section 15.2: they come before a final response and are none.
forms broken_interim_responses() {
    const std::string named = message("HTTP/1.1 100 Continue\r\n", "", "");
    return {
        broken("100 alone", named),
        broken("100 alone, then a reset", named, after_reply::resets),
        broken("103 with a body alone",
               message("HTTP/1.1 103 Early Hints\r\n", length_2, "ok")),
        broken("199 alone", message("HTTP/1.1 199 Other\r\n", "", "")),
        broken("101, which nobody asked for",
               message("HTTP/1.1 101 Switching Protocols\r\n", "Upgrade: x\r\n",
                       "")),
        broken("101, then a whole response",
               message("HTTP/1.1 101 Switching Protocols\r\n", "Upgrade: x\r\n",
                       "") +
                   ok(length_2)),
        broken("100 with a transfer coding",
               "HTTP/1.1 100 Continue\r\n" + chunked + "\r\n" + ok(length_2)),
        broken("100, then status 000", interim + with_status("000 None"),
               after_reply::keeps),
        broken("100, then half a head", interim + ok_line + "@Content-Le"),
    };
}

std::string with_name(const std::string& line) {
    return ok(line + "\r\n" + length_2);
}

// RFC 9110, section 5; RFC 9112, section 5.
forms broken_fields() {
    const std::string nul(1, '\0');
    return {
        broken("a blank in a name", with_name("X Y: 1"), after_reply::keeps),
        broken("a blank before the colon", with_name("X-Y : 1"),
               after_reply::keeps),
        broken("a tab before the colon", with_name("X-Y\t: 1"),
               after_reply::keeps),
        broken("a control byte in a name", with_name("X\x01Y: 1"),
               after_reply::keeps),
        broken("NUL in a name", with_name("X" + nul + "Y: 1"),
               after_reply::keeps),
        broken("DEL in a name", with_name("X\x7fY: 1"), after_reply::keeps),
        broken("a byte over 127 in a name", with_name("X\xc3\xa9: 1"),
               after_reply::keeps),
        broken("a parenthesis in a name", with_name("X(Y): 1"),
               after_reply::keeps),
        broken("no name", with_name(": 1"), after_reply::keeps),
        broken("no colon", with_name("X-Y"), after_reply::keeps),
        broken("a control byte in the name of Transfer-Encoding",
               ok("Transfer-\x0b"
                  "Encoding: chunked\r\n" +
                  length_2),
               after_reply::keeps),
        broken("a blank before the colon of Content-Length",
               ok("Content-Length : 2\r\n")),
        broken("a folded line without a field",
               ok_line + " X-Y: 1\r\n" + "@" + length_2 + "\r\nok",
               after_reply::keeps),
        broken("NUL in a value", with_name("X-Y: a" + nul + "b"),
               after_reply::keeps),
        broken("a control byte in a value",
               with_name("X-Y: a\x01"
                         "b"),
               after_reply::keeps),
        broken("DEL in a value", with_name("X-Y: a\x7f"), after_reply::keeps),
        broken("a carriage return in a value", with_name("X-Y: a\rb"),
               after_reply::keeps),
        broken("a line feed in a value", with_name("X-Y: a\nb"),
               after_reply::keeps),
        broken("half a head", ok_line + "@Content-Le"),
        broken("a head without its empty line", ok_line + "@" + length_2),
    };
}

// RFC 9112, section 6.2.
forms broken_lengths() {
    const auto body_of = [](const std::string& length) {
        return ok("Content-Length: " + length + "\r\n");
    };
    return {
        broken("two lengths that differ", body_of("2, 3")),
        broken("two fields of lengths that differ",
               ok(length_2 + "Content-Length: 1\r\n")),
        broken("a negative length", body_of("-2")),
        broken("a length with a sign", body_of("+2")),
        broken("a length that is no number", body_of("two")),
        broken("a hexadecimal length", body_of("0x2")),
        broken("a length with a blank in it", body_of("2 2")),
        broken("a length that is empty", body_of("")),
        broken("a length beyond 64 bits", body_of("18446744073709551618")),
        broken("a body cut short", body_of("9")),
        broken("a body cut short by a reset", body_of("9"),
               after_reply::resets),
        broken("a body without a length, then a reset", ok(""),
               after_reply::resets),
        broken("a length and chunks",
               ok(length_2 + chunked, "2\r\nok\r\n0\r\n\r\n")),
        broken("chunks and a length",
               ok(chunked + length_2, "2\r\nok\r\n0\r\n\r\n")),
        broken("204 with a body",
               message("HTTP/1.1 204 No Content\r\n", length_2, "ok")),
        broken("204 with chunks", message("HTTP/1.1 204 No Content\r\n",
                                          chunked, "2\r\nok\r\n0\r\n\r\n")),
    };
}

// RFC 9112, section 6.1: only the chunked coding is spoken here.
forms broken_codings() {
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    const auto body_in = [&](const std::string& coding) {
        return ok("Transfer-Encoding: " + coding + "\r\n", chunks);
    };
    return {
        broken("a coding that is not spoken", body_in("gzip")),
        broken("an unknown coding", body_in("x-unknown")),
        broken("the identity coding", body_in("identity")),
        broken("a coding that is not spoken below chunks",
               body_in("gzip, chunked")),
        broken("the same in two fields",
               ok("Transfer-Encoding: gzip\r\n" + chunked, chunks)),
        broken("a coding above chunks", body_in("chunked, gzip")),
        broken("chunked twice", body_in("chunked, chunked")),
        broken("chunked twice in two fields", ok(chunked + chunked, chunks)),
        broken("chunked with a parameter", body_in("chunked;a=b")),
        broken("chunked in quotes", body_in("\"chunked\"")),
        broken("a name that ends like chunked", body_in("xchunked")),
        broken("two words", body_in("chunked x")),
        broken("no coding in the field", body_in("")),
        broken("a coding that is not spoken and a length",
               ok("Transfer-Encoding: gzip\r\n" + length_2)),
        broken("a length and a coding that is not spoken",
               ok(length_2 + "Transfer-Encoding: gzip\r\n")),
        broken("identity and a length",
               ok("Transfer-Encoding: identity\r\n" + length_2)),
        broken("chunks in HTTP/1.0",
               message("HTTP/1.0 200 OK\r\n", chunked, chunks)),
    };
}

// RFC 9112, section 7.1.
forms broken_chunks() {
    const auto body = [](const std::string& bytes) {
        return ok(chunked, bytes);
    };
    return {
        broken("no chunk size", body("\r\nok\r\n0\r\n\r\n")),
        broken("a chunk size that is no number", body("x\r\nok\r\n0\r\n\r\n")),
        broken("a negative chunk size", body("-2\r\nok\r\n0\r\n\r\n")),
        broken("a chunk size with a prefix", body("0x2\r\nok\r\n0\r\n\r\n")),
        broken("a chunk size beyond 64 bits",
               body("10000000000000002\r\nok\r\n0\r\n\r\n")),
        broken("a blank after the chunk size", body("2 \r\nok\r\n0\r\n\r\n")),
        broken("a chunk longer than its size", body("1\r\nok\r\n0\r\n\r\n")),
        broken("a chunk shorter than its size", body("3\r\nok\r\n0\r\n\r\n")),
        broken("a chunk line that ends without a carriage return",
               body("2\nok\r\n0\r\n\r\n")),
        broken("a control byte in a chunk's extension",
               body("2;a=\"\n\"\r\nok\r\n0\r\n\r\n")),
        broken("no last chunk", body("2\r\nok\r\n")),
        broken("no last chunk, then a reset", body("2\r\nok\r\n"),
               after_reply::resets),
        broken("a last chunk without the end of the body",
               body("2\r\nok\r\n0\r\n")),
        broken("trailers cut short", body("2\r\nok\r\n0\r\nX-Y: 1\r\n")),
        broken("a blank in a trailer's name",
               body("2\r\nok\r\n0\r\nX Y: 1\r\n\r\n")),
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

std::vector<response_form> response_forms_with(const std::string& body) {
    const auto length = fmt::format("Content-Length: {}\r\n", body.size());
    const auto whole = ok_line + length + "\r\n" + body;
    const response_form::delivered delivered{200, body};
    return {
        {"a response", whole, after_reply::closes, delivered},
        {"100 first", interim + whole, after_reply::closes, delivered},
        broken("100 alone", interim),
        broken("status 000", "HTTP/1.1 000 None\r\n" + length + "\r\n" + body),
        broken("a blank in a name",
               ok_line + "X Y: 1\r\n" + length + "\r\n" + body),
        broken("a control byte in a name",
               ok_line + "X\x01Y: 1\r\n" + length + "\r\n" + body),
        broken("a coding that is not spoken",
               ok_line + "Transfer-Encoding: gzip\r\n" + length + "\r\n" +
                   body),
        broken("no length", ok_line + "\r\n" + body),
    };
}

std::string with_fields(std::string bytes, const std::string& fields) {
    for (auto at = bytes.find('@'); at != std::string::npos;
         at = bytes.find('@', at + fields.size())) {
        bytes.replace(at, 1, fields);
    }
    return bytes;
}

} // namespace pollenreel::testing
