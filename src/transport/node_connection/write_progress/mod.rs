//! Tracks how much of the current request has been written to the socket.
//!
//! When a request fails, hyper does not report whether the last byte of the request was written. The node may
//! have run the request only if that byte was written.

use std::cell::Cell;

/// The length of `\r\n\r\n`, which ends the head of a request.
const HEAD_END_LEN: usize = 4;

/// Tracks whether the current request has been written completely: its head and all bytes of its body.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// Length of the request body, in bytes.
    body_len: Cell<usize>,
    /// Number of leading bytes of `\r\n\r\n` that the most recently written bytes match. [`HEAD_END_LEN`]
    /// once the head has been written.
    head_end_matched: Cell<usize>,
    /// Number of body bytes written so far.
    body_written: Cell<usize>,
}

impl WriteProgress {
    /// Starts tracking a new request, whose body is `body_len` bytes long.
    pub(super) fn start_request(&self, body_len: usize) {
        self.body_len.set(body_len);
        self.head_end_matched.set(0);
        self.body_written.set(0);
    }

    /// Records bytes that have been written to the socket.
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

    /// Returns whether the current request has been written completely.
    pub(super) fn is_complete(&self) -> bool {
        self.head_end_matched.get() == HEAD_END_LEN && self.body_written.get() >= self.body_len.get()
    }
}

#[cfg(test)]
mod tests;
