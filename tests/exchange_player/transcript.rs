//! Records the transcript of an exchange, and masks the values in it that differ between runs.

use std::time::Duration;

/// Headers whose values differ between runs. The transcript replaces each distinct value with its own
/// placeholder, so that equal values stay recognizable.
const PLACEHOLDER_HEADERS: [&str; 3] = ["idempotency-key", "req-id", "x-amz-request-id"];
/// Headers whose values the transcript replaces with `~`.
const MASKED_HEADERS: [&str; 2] = ["date", DEADLINE_HEADER];
/// Header with the time that remains for a node to answer a request: `12000u` is 12,000 microseconds.
const DEADLINE_HEADER: &str = "req-deadline";

/// A name in braces, such as `{n1}`, and the value that it represents.
struct Placeholder {
    name: String,
    value: String,
}

/// Placeholders for the values that differ between runs: addresses, identifiers and keys.
#[derive(Default)]
pub struct Placeholders(Vec<Placeholder>);

impl Placeholders {
    pub fn add(&mut self, name: String, value: String) {
        self.0.push(Placeholder { name, value });
    }

    /// Replaces the names of the placeholders with their values.
    pub fn fill_in(&self, text: &str) -> String {
        let replace =
            |text: String, placeholder: &Placeholder| text.replace(&placeholder.name, &placeholder.value);
        self.0.iter().fold(text.to_string(), replace)
    }

    /// Replaces the values of the placeholders with their names.
    fn mask(&self, text: String) -> String {
        let replace =
            |text: String, placeholder: &Placeholder| text.replace(&placeholder.value, &placeholder.name);
        self.0.iter().fold(text, replace)
    }

    /// Encodes a message for the wire. In the content, an empty line separates the head from the body, and
    /// `{len}` in the head is replaced with the length of the body in bytes.
    pub fn encode_message(&self, content: &str) -> Vec<u8> {
        let (head, body) = content.split_once("\n\n").unwrap_or((content, ""));
        let body = self.fill_in(body);
        let head = self.fill_in(&head.replace("{len}", &body.len().to_string()));
        format!("{}\r\n\r\n{body}", head.replace('\n', "\r\n")).into_bytes()
    }

    /// Adds a numbered placeholder for the value unless the value has one.
    fn ensure_placeholder(&mut self, value: &str) {
        if !self.0.iter().any(|placeholder| placeholder.value == value) {
            self.add(format!("{{value {}}}", self.0.len()), value.into());
        }
    }
}

/// The commands of the steps run so far, and the messages and log lines that they read.
pub struct Transcript {
    pub placeholders: Placeholders,
    text: String,
    remaining_time: Option<Duration>,
}

impl Transcript {
    pub fn new(placeholders: Placeholders) -> Self {
        Transcript { placeholders, text: String::new(), remaining_time: None }
    }

    pub fn text(&self) -> &str {
        &self.text
    }

    pub fn into_text(self) -> String {
        self.text
    }

    /// Returns the `Req-Deadline` of the last recorded request that has one, or `None` if there is no such
    /// request or the deadline is invalid.
    pub fn remaining_time(&self) -> Option<Duration> {
        self.remaining_time
    }

    pub fn start_step(&mut self, command: &str) {
        self.text.push_str(&format!("== {command}\n"));
    }

    pub fn push_unmasked(&mut self, text: &str) {
        self.text.push_str(text);
    }

    /// Records a message or a log line, and masks the values in it that differ between runs.
    pub fn record(&mut self, bytes: &[u8]) {
        let received = String::from_utf8_lossy(bytes).replace("\r\n", "\n");
        let mut text = received.clone();
        for line in received.lines().take_while(|line| !line.is_empty()) {
            let Some((name, value)) = line.split_once(": ") else { continue };
            let name = name.to_lowercase();
            if name == DEADLINE_HEADER {
                self.remaining_time = parse_deadline(value);
            }
            if MASKED_HEADERS.contains(&name.as_str()) {
                text = text.replace(line, &format!("{name}: ~"));
            } else if PLACEHOLDER_HEADERS.contains(&name.as_str()) {
                self.placeholders.ensure_placeholder(value);
            }
        }
        let text = self.placeholders.mask(text);
        self.text.push_str(text.trim_end());
        self.text.push_str("\n\n");
    }

    /// Adds the placeholder `{upload}` for the upload identifier in the response, if any. If several are
    /// added, scripts use the first one.
    pub fn capture_upload_id(&mut self, response: &[u8]) {
        let response = String::from_utf8_lossy(response);
        let id = response.split_once("<UploadId>").and_then(|(_, rest)| rest.split_once('<'));
        if let Some((id, _)) = id {
            self.placeholders.add("{upload}".into(), id.into());
        }
    }
}

fn parse_deadline(value: &str) -> Option<Duration> {
    let microseconds = value.strip_suffix('u')?.parse().ok()?;
    Some(Duration::from_micros(microseconds))
}
