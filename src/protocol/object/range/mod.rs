//! Byte ranges in the `Range` and `Content-Range` headers (RFC 9110, section 14).

#[cfg(test)]
mod tests;

/// A range of bytes of an object, with offsets from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ByteRange {
    /// The bytes from the first to the last offset, both inclusive.
    Span(u64, u64),
    /// The bytes from this offset to the end of the object.
    From(u64),
    /// This number of bytes at the end of the object (a suffix range).
    Suffix(u64),
}

impl ByteRange {
    /// Decodes the value of a `Range` header. Returns `None` if it is malformed or contains several ranges.
    /// The header is then ignored, as the RFC allows, and the response is the complete object.
    pub fn decode(text: &str) -> Option<ByteRange> {
        let (unit, range) = text.split_once('=')?;
        if !unit.trim().eq_ignore_ascii_case("bytes") {
            return None;
        }
        match range.trim().split_once('-')? {
            ("", count) => Some(ByteRange::Suffix(parse_digits(count)?)),
            (first, "") => Some(ByteRange::From(parse_digits(first)?)),
            (first, last) => {
                let (first, last) = (parse_digits(first)?, parse_digits(last)?);
                (first <= last).then_some(ByteRange::Span(first, last))
            }
        }
    }

    /// Encodes the value of a `Range` header.
    pub fn encode(&self) -> String {
        match self {
            ByteRange::Span(first, last) => format!("bytes={first}-{last}"),
            ByteRange::From(first) => format!("bytes={first}-"),
            ByteRange::Suffix(count) => format!("bytes=-{count}"),
        }
    }

    /// Returns the maximum number of bytes in the range; `None` if only the size of the object limits it.
    pub fn max_len(&self) -> Option<u64> {
        match self {
            ByteRange::Span(first, last) => Some((last - first).saturating_add(1)),
            ByteRange::From(_) => None,
            ByteRange::Suffix(count) => Some(*count),
        }
    }

    /// Returns whether a response with this `Content-Range`, and a body of this length if known, delivers
    /// exactly the requested range, cut off at the end of the object. Without this check, the client could
    /// mistake the bytes of a faulty node for the requested ones.
    pub fn matches(&self, content_range: &str, content_length: Option<u64>) -> bool {
        let Some(content) = ContentRange::decode(content_range) else { return false };
        self.is_satisfied_by(&content)
            && content.is_consistent()
            && content_length.is_none_or(|length| length == content.len())
    }

    /// Returns whether the content starts at the start of the range, and ends at the end of the range or of
    /// the object.
    fn is_satisfied_by(&self, content: &ContentRange) -> bool {
        let ContentRange { first, last, total } = *content;
        match *self {
            ByteRange::Span(from, to) => {
                let is_limited_by_object = last < to && total.is_some() && content.reaches_end();
                first == from && (last == to || is_limited_by_object)
            }
            ByteRange::From(from) => first == from && content.reaches_end(),
            ByteRange::Suffix(count) => {
                let starts_at = |total: u64| first == total.saturating_sub(count);
                content.reaches_end() && total.is_none_or(starts_at)
            }
        }
    }
}

/// The contents of a `Content-Range` header.
struct ContentRange {
    first: u64,
    last: u64,
    /// The size of the object in bytes; `None` if the header has `*` in its place.
    total: Option<u64>,
}

impl ContentRange {
    fn decode(text: &str) -> Option<ContentRange> {
        let (span, total) = text.trim().strip_prefix("bytes ")?.split_once('/')?;
        let (first, last) = span.split_once('-')?;
        let total = if total == "*" { None } else { Some(parse_digits(total)?) };
        Some(ContentRange { first: parse_digits(first)?, last: parse_digits(last)?, total })
    }

    /// Returns whether the range ends at the end of the object. This is assumed if the object's size is
    /// unknown.
    fn reaches_end(&self) -> bool {
        self.total.is_none_or(|total| self.last == total.saturating_sub(1))
    }

    fn is_consistent(&self) -> bool {
        self.first <= self.last && self.total.is_none_or(|total| self.last < total)
    }

    /// Returns the number of bytes, which is meaningful only if the range is consistent.
    fn len(&self) -> u64 {
        self.last.wrapping_sub(self.first).wrapping_add(1)
    }
}

fn parse_digits(text: &str) -> Option<u64> {
    // `parse` alone would also accept a leading sign.
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}
