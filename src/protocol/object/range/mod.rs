//! Ranges of bytes, as RFC 9110 writes them in `Range` and `Content-Range`.

#[cfg(test)]
mod tests;

/// One range of bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ByteRange {
    /// From the first to the last offset, both included.
    Span(u64, u64),
    /// From the first offset to the end.
    From(u64),
    /// This many bytes at the end.
    Last(u64),
}

impl ByteRange {
    /// Decodes a `Range` header. None where it is malformed or names several ranges: it is then ignored, as
    /// the RFC allows, and the complete object is the response.
    pub fn decode(text: &str) -> Option<ByteRange> {
        let (unit, range) = text.split_once('=')?;
        if !unit.trim().eq_ignore_ascii_case("bytes") {
            return None;
        }
        match range.trim().split_once('-')? {
            ("", count) => Some(ByteRange::Last(parse_digits(count)?)),
            (first, "") => Some(ByteRange::From(parse_digits(first)?)),
            (first, last) => {
                let (first, last) = (parse_digits(first)?, parse_digits(last)?);
                (first <= last).then_some(ByteRange::Span(first, last))
            }
        }
    }

    /// The value of the `Range` header.
    pub fn encode(&self) -> String {
        match self {
            ByteRange::Span(first, last) => format!("bytes={first}-{last}"),
            ByteRange::From(first) => format!("bytes={first}-"),
            ByteRange::Last(count) => format!("bytes=-{count}"),
        }
    }

    /// The largest number of bytes in the range, if it sets a bound.
    pub fn max_len(&self) -> Option<u64> {
        match self {
            ByteRange::Span(first, last) => Some((last - first).saturating_add(1)),
            ByteRange::From(_) => None,
            ByteRange::Last(count) => Some(*count),
        }
    }

    /// Whether a response with this `Content-Range` and a body of this length contains the range that was
    /// requested. Guards against a node that sends other bytes than those that the client will take them for.
    pub fn matches(&self, content_range: &str, content_length: Option<u64>) -> bool {
        let Some(content) = ContentRange::decode(content_range) else { return false };
        self.is_answered_by(&content)
            && content.is_consistent()
            && content_length.is_none_or(|length| length == content.len())
    }

    /// Whether the content starts and ends where the range does, or at the object's end.
    fn is_answered_by(&self, content: &ContentRange) -> bool {
        let ContentRange { first, last, total } = *content;
        match *self {
            ByteRange::Span(from, to) => {
                let is_cut_short = last < to && total.is_some() && content.reaches_end();
                first == from && (last == to || is_cut_short)
            }
            ByteRange::From(from) => first == from && content.reaches_end(),
            ByteRange::Last(count) => {
                let starts_at = |total: u64| first == total.saturating_sub(count);
                content.reaches_end() && total.is_none_or(starts_at)
            }
        }
    }
}

/// What a `Content-Range` header states.
struct ContentRange {
    first: u64,
    last: u64,
    /// The size of the object, if stated.
    total: Option<u64>,
}

impl ContentRange {
    fn decode(text: &str) -> Option<ContentRange> {
        let (span, total) = text.trim().strip_prefix("bytes ")?.split_once('/')?;
        let (first, last) = span.split_once('-')?;
        let total = if total == "*" { None } else { Some(parse_digits(total)?) };
        Some(ContentRange { first: parse_digits(first)?, last: parse_digits(last)?, total })
    }

    /// Whether the range ends where the object does; assumed where the object's size is not stated.
    fn reaches_end(&self) -> bool {
        self.total.is_none_or(|total| self.last == total.saturating_sub(1))
    }

    fn is_consistent(&self) -> bool {
        self.first <= self.last && self.total.is_none_or(|total| self.last < total)
    }

    /// The number of bytes; meaningful only if the range is consistent.
    fn len(&self) -> u64 {
        self.last.wrapping_sub(self.first).wrapping_add(1)
    }
}

fn parse_digits(text: &str) -> Option<u64> {
    // The parser alone would also accept a sign.
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}
