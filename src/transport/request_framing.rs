//! Finds requests that state the length of their body twice.

/// Of each line so much is kept: enough for the names and figures that count here.
const LINE_KEPT: usize = 64;

/// What comes next on the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Next {
    /// A request line, or blank lines before it.
    #[default]
    Start,
    /// The lines of a head.
    Head,
    /// So much of a body.
    Body(u64),
    /// Nothing that matters: after a chunked request the connection is closed.
    End,
}

/// Follows the heads that come on a client's connection. hyper drops `Content-Length` from a chunked request,
/// so that it cannot be told from one that stated its length once; but a body whose length is stated twice
/// may hide another request.
#[derive(Debug, Default)]
pub struct Framing {
    next: Next,
    line: Vec<u8>,
    /// What the head in hand states.
    length: Option<u64>,
    chunked: bool,
    conflicting_length: bool,
}

impl Framing {
    /// These bytes have come.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.next {
                Next::End => return,
                Next::Body(left) => {
                    let length = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                    bytes = &bytes[length..];
                    let left = left - length as u64;
                    self.next = if left == 0 { Next::Start } else { Next::Body(left) };
                }
                Next::Start | Next::Head => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let room = LINE_KEPT.saturating_sub(self.line.len());
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    bytes = &bytes[end.map_or(bytes.len(), |at| at + 1)..];
                    if end.is_some() {
                        let line = std::mem::take(&mut self.line);
                        self.line_ended(line.trim_ascii_end());
                    }
                }
            }
        }
    }

    /// Whether the chunked request on this connection, always its last, states a length as well.
    pub fn conflicting_length(&self) -> bool {
        self.conflicting_length
    }

    fn line_ended(&mut self, line: &[u8]) {
        match (self.next, line.is_empty()) {
            (Next::Start, true) => {}
            (Next::Start, false) => self.next = Next::Head,
            (_, true) => {
                let length = self.length.take();
                self.conflicting_length = self.chunked && length.is_some();
                self.next = match length {
                    _ if self.chunked => Next::End,
                    None | Some(0) => Next::Start,
                    Some(length) => Next::Body(length),
                };
            }
            (_, false) => {
                let mut halves = line.splitn(2, |b| *b == b':');
                let (name, value) = (halves.next().unwrap_or_default(), halves.next().unwrap_or_default());
                if name.eq_ignore_ascii_case(b"transfer-encoding") {
                    self.chunked = true;
                } else if name.eq_ignore_ascii_case(b"content-length") {
                    // hyper takes no request whose length is not a plain figure, or differs from another.
                    let figure = std::str::from_utf8(value.trim_ascii()).ok();
                    self.length = Some(figure.and_then(|f| f.parse().ok()).unwrap_or(0));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
