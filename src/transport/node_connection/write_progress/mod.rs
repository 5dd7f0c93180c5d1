//! How much of the current request has been written to the socket.
//!
//! hyper does not tell: it says that a message failed, not whether its last byte had been written, and on
//! that depends whether the node may have run the request.

use std::cell::Cell;

/// The length of `\r\n\r\n`, which ends the head of a request.
const HEAD_END_LEN: usize = 4;

/// Counts the bytes written of one request at a time.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// Bytes of the body that are to follow the head.
    body_len: Cell<usize>,
    /// How many bytes of the head's end the last bytes written match; [`HEAD_END_LEN`] once the head is
    /// written.
    head_end_matched: Cell<usize>,
    body_written: Cell<usize>,
}

impl WriteProgress {
    /// Starts counting for a request with a body of `body_len` bytes.
    pub(super) fn start_request(&self, body_len: usize) {
        self.body_len.set(body_len);
        self.head_end_matched.set(0);
        self.body_written.set(0);
    }

    /// Counts bytes that have been written.
    pub(super) fn record(&self, written: &[u8]) {
        let mut matched = self.head_end_matched.get();
        for (position, byte) in written.iter().enumerate() {
            if matched == HEAD_END_LEN {
                self.body_written.set(self.body_written.get() + written.len() - position);
                break;
            }
            matched = match (*byte, matched) {
                (b'\r', 0 | 2) | (b'\n', 1 | 3) => matched + 1,
                (b'\r', _) => 1,
                _ => 0,
            };
        }
        self.head_end_matched.set(matched);
    }

    /// Whether the request has been written completely.
    pub(super) fn is_complete(&self) -> bool {
        self.head_end_matched.get() == HEAD_END_LEN && self.body_written.get() >= self.body_len.get()
    }
}

#[cfg(test)]
mod tests;
