use super::WriteProgress;

#[test]
fn request_is_complete_only_with_its_last_byte_wherever_the_writes_are_split() {
    let text = b"PUT /a HTTP/1.1\r\nx: \r\r\n\r\nbody";
    for split in 0..text.len() {
        let progress = WriteProgress::default();
        progress.start_request(4);
        progress.record(&text[..split]);
        assert!(!progress.is_complete(), "only {split} bytes have been written");
        progress.record(&text[split..]);
        assert!(progress.is_complete());
        progress.start_request(4);
        assert!(!progress.is_complete(), "nothing of the next request has been written");
    }
}
