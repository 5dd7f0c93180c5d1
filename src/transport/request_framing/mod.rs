//! Detects requests with both `Content-Length` and `Transfer-Encoding`.
//!
//! If a request has both headers, an intermediary and hyper may use different ones to find the end of its
//! body, so that the body can hide another request (request smuggling). hyper removes `Content-Length` from a
//! chunked request, so the conflict can only be detected in the bytes of the request.

/// Maximum number of bytes stored per line: enough for the header names and numbers that are parsed here.
const MAX_STORED_LINE_LEN: usize = 64;

/// The part of a request to which the next byte belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ParserState {
    /// The request line, or blank lines before it.
    #[default]
    RequestLine,
    /// The header fields, or the blank line after them.
    HeaderFields,
    /// The body of a request that has a `Content-Length` and no `Transfer-Encoding`.
    Body {
        /// Number of bytes of the body that have not been received yet.
        remaining: u64,
    },
    /// The body of a request with `Transfer-Encoding`, and everything after it. Parsing has stopped because
    /// such a request is the connection's last.
    Stopped,
}

/// Parses the heads of the requests on a client connection as far as needed to find the length of each body.
#[derive(Debug, Default)]
pub(super) struct RequestFraming {
    state: ParserState,
    /// The beginning of the line being read, at most [`MAX_STORED_LINE_LEN`] bytes.
    line: Vec<u8>,
    /// Value of `Content-Length` in the head being read; `None` if the header has not been read, 0 if its
    /// value is not a valid number.
    content_length: Option<u64>,
    /// Whether the head being read has a `Transfer-Encoding`.
    has_transfer_encoding: bool,
    /// Whether the last complete head had both `Content-Length` and `Transfer-Encoding`.
    conflicting_length: bool,
}

impl RequestFraming {
    /// Parses the next bytes that have been read from the connection.
    pub(super) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.state {
                ParserState::Stopped => return,
                ParserState::Body { remaining } => self.skip_body(remaining, bytes),
                ParserState::RequestLine | ParserState::HeaderFields => self.read_line(bytes),
            };
        }
    }

    /// Returns whether the bytes read so far end within the head of a request.
    pub(super) fn is_within_head(&self) -> bool {
        match self.state {
            ParserState::RequestLine => !self.line.trim_ascii().is_empty(),
            ParserState::HeaderFields => true,
            ParserState::Body { .. } | ParserState::Stopped => false,
        }
    }

    /// Returns whether the request with `Transfer-Encoding` on this connection, which is always its last
    /// request, also has a `Content-Length`.
    pub(super) fn conflicting_length(&self) -> bool {
        self.conflicting_length
    }

    /// Skips the bytes of the body at the start of `bytes`, and returns the remaining bytes.
    fn skip_body<'b>(&mut self, remaining: u64, bytes: &'b [u8]) -> &'b [u8] {
        let skipped = usize::try_from(remaining).unwrap_or(usize::MAX).min(bytes.len());
        let remaining = remaining - skipped as u64;
        self.state = if remaining == 0 { ParserState::RequestLine } else { ParserState::Body { remaining } };
        &bytes[skipped..]
    }

    /// Reads up to the end of the current line, and returns the remaining bytes.
    fn read_line<'b>(&mut self, bytes: &'b [u8]) -> &'b [u8] {
        let newline = bytes.iter().position(|byte| *byte == b'\n');
        let part = &bytes[..newline.unwrap_or(bytes.len())];
        let capacity = MAX_STORED_LINE_LEN.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(capacity)]);
        let Some(newline) = newline else {
            return &[];
        };
        let line = std::mem::take(&mut self.line);
        self.end_line(line.trim_ascii_end());
        &bytes[newline + 1..]
    }

    fn end_line(&mut self, line: &[u8]) {
        match (self.state, line.is_empty()) {
            (ParserState::RequestLine, true) => {}
            (ParserState::RequestLine, false) => self.state = ParserState::HeaderFields,
            (_, true) => self.end_head(),
            (_, false) => self.read_header_field(line),
        }
    }

    fn end_head(&mut self) {
        let content_length = self.content_length.take();
        self.conflicting_length = self.has_transfer_encoding && content_length.is_some();
        self.state = match content_length {
            _ if self.has_transfer_encoding => ParserState::Stopped,
            None | Some(0) => ParserState::RequestLine,
            Some(remaining) => ParserState::Body { remaining },
        };
    }

    fn read_header_field(&mut self, line: &[u8]) {
        let mut name_and_value = line.splitn(2, |byte| *byte == b':');
        let name = name_and_value.next().unwrap_or_default();
        let value = name_and_value.next().unwrap_or_default();
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            // hyper rejects requests whose `Content-Length` is not a plain number, and those with several
            // different ones.
            let number = std::str::from_utf8(value.trim_ascii()).ok();
            self.content_length = Some(number.and_then(|digits| digits.parse().ok()).unwrap_or(0));
        }
    }
}

#[cfg(test)]
mod tests;
