//! The transcript of an exchange, in which values that differ from run to run are masked.

use std::time::Duration;

/// Headers whose values differ from run to run: equal values get equal names in the transcript.
const NAMED_HEADERS: [&str; 3] = ["idempotency-key", "req-id", "x-amz-request-id"];
/// Headers whose values are left out.
const MASKED_HEADERS: [&str; 2] = ["date", DEADLINE_HEADER];
/// The time that a node has for a request, such as `12000u` for 12,000 microseconds.
const DEADLINE_HEADER: &str = "req-deadline";

/// A name in braces and the value that it stands for.
struct Placeholder {
    name: String,
    value: String,
}

/// The values that differ from run to run: addresses, identifiers and keys.
#[derive(Default)]
pub struct Placeholders(Vec<Placeholder>);

impl Placeholders {
    pub fn add(&mut self, name: String, value: String) {
        self.0.push(Placeholder { name, value });
    }

    /// Puts values in the place of names.
    pub fn fill_in(&self, text: &str) -> String {
        let replace =
            |text: String, placeholder: &Placeholder| text.replace(&placeholder.name, &placeholder.value);
        self.0.iter().fold(text.to_string(), replace)
    }

    /// Puts names in the place of values.
    fn mask(&self, text: String) -> String {
        let replace =
            |text: String, placeholder: &Placeholder| text.replace(&placeholder.value, &placeholder.name);
        self.0.iter().fold(text, replace)
    }

    /// The bytes of a message whose head and body are parted by an empty line; `{len}` in the head is the
    /// length of the body.
    pub fn message(&self, content: &str) -> Vec<u8> {
        let (head, body) = content.split_once("\n\n").unwrap_or((content, ""));
        let body = self.fill_in(body);
        let head = self.fill_in(&head.replace("{len}", &body.len().to_string()));
        format!("{}\r\n\r\n{body}", head.replace('\n', "\r\n")).into_bytes()
    }

    /// Gives a value the next name, if it has none.
    fn name_value(&mut self, value: &str) {
        if !self.0.iter().any(|placeholder| placeholder.value == value) {
            self.add(format!("{{value {}}}", self.0.len()), value.into());
        }
    }
}

/// What came back in the steps so far.
pub struct Transcript {
    pub placeholders: Placeholders,
    text: String,
    time_left: Option<Duration>,
}

impl Transcript {
    pub fn new(placeholders: Placeholders) -> Self {
        Transcript { placeholders, text: String::new(), time_left: None }
    }

    pub fn text(&self) -> &str {
        &self.text
    }

    pub fn into_text(self) -> String {
        self.text
    }

    /// The time that the last request with a deadline leaves its node.
    pub fn time_left(&self) -> Option<Duration> {
        self.time_left
    }

    pub fn start_step(&mut self, head: &str) {
        self.text.push_str(&format!("== {head}\n"));
    }

    pub fn push_unmasked(&mut self, text: &str) {
        self.text.push_str(text);
    }

    /// Records a message or a log line.
    pub fn record(&mut self, bytes: &[u8]) {
        let received = String::from_utf8_lossy(bytes).replace("\r\n", "\n");
        let mut text = received.clone();
        for line in received.lines().take_while(|line| !line.is_empty()) {
            let Some((name, value)) = line.split_once(": ") else { continue };
            let name = name.to_lowercase();
            if name == DEADLINE_HEADER {
                self.time_left = parse_deadline(value);
            }
            if MASKED_HEADERS.contains(&name.as_str()) {
                text = text.replace(line, &format!("{name}: ~"));
            } else if NAMED_HEADERS.contains(&name.as_str()) {
                self.placeholders.name_value(value);
            }
        }
        let text = self.placeholders.mask(text);
        self.text.push_str(text.trim_end());
        self.text.push_str("\n\n");
    }

    /// Remembers the identifier of an upload that a response names.
    pub fn note_upload_id(&mut self, response: &[u8]) {
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
