use super::ByteRange::{self, From, Span, Suffix};

#[test]
fn only_single_well_formed_ranges_are_decoded() {
    let cases = [
        ("bytes=0-9", Some(Span(0, 9))),
        ("Bytes=5-", Some(From(5))),
        ("bytes=-3", Some(Suffix(3))),
        ("bytes=9-0", None),
        ("bytes=0-1,4-5", None),
        ("bytes=+1-2", None),
        ("bytes=-", None),
        ("pages=1-2", None),
    ];
    for (text, range) in cases {
        assert_eq!(ByteRange::decode(text), range, "{text}");
    }
}

#[test]
fn only_content_with_the_requested_range_matches() {
    assert!(Span(0, 9).matches("bytes 0-9/20", Some(10)));
    assert!(Span(0, 99).matches("bytes 0-19/20", Some(20)));
    assert!(Suffix(5).matches("bytes 15-19/20", None));
    assert!(Suffix(50).matches("bytes 0-19/20", None));
    assert!(From(5).matches("bytes 5-19/20", Some(15)));
    for content_range in ["bytes 1-9/20", "bytes 0-8/20", "bytes 0-9/5", "0-9/20", "bytes 0-9/x"] {
        assert!(!Span(0, 9).matches(content_range, None), "{content_range}");
    }
    assert!(!Span(0, 9).matches("bytes 0-9/20", Some(9)));
}
