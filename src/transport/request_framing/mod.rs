//! Finds requests that state the length of their body twice.
//!
//! hyper drops `Content-Length` from a chunked request, so that it cannot be told from one that stated its
//! length once; but a body whose length is stated twice may hide another request (request smuggling).

/// How many bytes of a line are stored: enough for the names and numbers that count here.
const MAX_STORED_LINE_LEN: usize = 64;

/// What comes next on the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ParserState {
    /// A request line, or blank lines before it.
    #[default]
    RequestLine,
    /// Header fields, or the blank line that ends them.
    HeaderFields,
    /// A body.
    Body {
        /// Bytes of it still to come.
        remaining: u64,
    },
    /// Nothing that matters: after a chunked request the connection is closed.
    Finished,
}

/// Follows the heads of the requests that come on a client's connection.
#[derive(Debug, Default)]
pub(super) struct RequestFraming {
    state: ParserState,
    /// The beginning of the line being read, at most [`MAX_STORED_LINE_LEN`] bytes.
    line: Vec<u8>,
    /// `Content-Length` of the head being read.
    content_length: Option<u64>,
    /// Whether the head being read states a `Transfer-Encoding`.
    chunked: bool,
    conflicting_length: bool,
}

impl RequestFraming {
    /// Takes the next bytes read from the connection.
    pub(super) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.state {
                ParserState::Finished => return,
                ParserState::Body { remaining } => self.skip_body(remaining, bytes),
                ParserState::RequestLine | ParserState::HeaderFields => self.read_line(bytes),
            };
        }
    }

    /// Whether the chunked request on this connection, always its last, states a length as well.
    pub(super) fn conflicting_length(&self) -> bool {
        self.conflicting_length
    }

    /// Skips what `bytes` holds of the body, and returns the rest.
    fn skip_body<'b>(&mut self, remaining: u64, bytes: &'b [u8]) -> &'b [u8] {
        let skipped = usize::try_from(remaining).unwrap_or(usize::MAX).min(bytes.len());
        let remaining = remaining - skipped as u64;
        self.state = if remaining == 0 { ParserState::RequestLine } else { ParserState::Body { remaining } };
        &bytes[skipped..]
    }

    /// Reads up to the end of the line, and returns what comes behind it.
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
        self.conflicting_length = self.chunked && content_length.is_some();
        self.state = match content_length {
            _ if self.chunked => ParserState::Finished,
            None | Some(0) => ParserState::RequestLine,
            Some(remaining) => ParserState::Body { remaining },
        };
    }

    fn read_header_field(&mut self, line: &[u8]) {
        let mut halves = line.splitn(2, |byte| *byte == b':');
        let name = halves.next().unwrap_or_default();
        let value = halves.next().unwrap_or_default();
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            // hyper accepts no request whose length is not a plain number, or differs from another.
            let number = std::str::from_utf8(value.trim_ascii()).ok();
            self.content_length = Some(number.and_then(|digits| digits.parse().ok()).unwrap_or(0));
        }
    }
}

#[cfg(test)]
mod tests;
