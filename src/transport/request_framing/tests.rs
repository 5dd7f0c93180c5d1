use super::RequestFraming;

#[test]
fn finds_conflicting_length_wherever_the_bytes_are_split() {
    let (length, chunked) = ("Content-length: 3\r\n", "TRANSFER-ENCODING:chunked\r\n");
    let first =
        format!("\r\nPUT /a HTTP/1.1\r\n{length}\r\n\r\n\nGET /b HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(99));
    for (fields, conflicting_length) in [
        (format!("{length}{chunked}"), true),
        (format!("{chunked}{length}"), true),
        (format!("{chunked}x: content-length: 3\r\n"), false),
        (length.to_string(), false),
    ] {
        let text =
            format!("{first}PUT /c HTTP/1.1\r\n{fields}\r\n0\r\n\r\nPUT /d HTTP/1.1\r\n{length}{chunked}");
        for split in 0..text.len() {
            let mut framing = RequestFraming::default();
            framing.feed(&text.as_bytes()[..split]);
            framing.feed(&text.as_bytes()[split..]);
            assert_eq!(framing.conflicting_length(), conflicting_length, "{text:?} split at {split}");
        }
    }
}

#[test]
fn finds_whether_the_bytes_end_within_a_head() {
    let request = "\r\nPUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    let head_start = request.find("PUT").unwrap();
    let head_end = request.find("abc").unwrap();
    for received in 0..=request.len() {
        for before in ["", request] {
            let mut framing = RequestFraming::default();
            framing.feed(before.as_bytes());
            framing.feed(&request.as_bytes()[..received]);
            let expected = received > head_start && received < head_end;
            assert_eq!(framing.is_within_head(), expected, "{received} bytes after {before:?}");
        }
    }
}
