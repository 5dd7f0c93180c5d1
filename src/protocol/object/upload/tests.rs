use super::*;

#[test]
fn an_upload_id_is_valid_only_for_its_tenant_bucket_and_key() {
    let key = UploadKey::new(b"sixteen bytes or more").unwrap();
    let upload = Upload { rack: "r1".into(), node_upload_id: "abc/def".into() };
    let path = ObjectPath { tenant: "uni", bucket: "dossiers", key: "a/b" };
    let id = key.sign(path, &upload);
    assert_eq!(key.verify(path, &id), Some(upload.clone()));
    assert_eq!(key.verify(ObjectPath { tenant: "other", ..path }, &id), None);
    assert_eq!(key.verify(ObjectPath { bucket: "dossiersa", key: "/b", ..path }, &id), None);
    assert_eq!(UploadKey::new(b"another secret here").unwrap().verify(path, &id), None);
    assert_eq!(key.verify(path, &format!("x{id}")), None);
    assert!(UploadKey::new(b"short").is_none());
}
