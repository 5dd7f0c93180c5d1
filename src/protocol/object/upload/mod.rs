//! Upload ids: signed tokens that allow any gateway of a deployment to continue a multipart upload, without
//! state in the gateways.

#[cfg(test)]
mod tests;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The secret key with which all gateways of a deployment sign upload ids (HMAC-SHA256).
#[derive(Clone)]
pub struct UploadKey(Vec<u8>);

/// The object to which a multipart upload belongs. An upload id is valid only for this object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObjectPath<'a> {
    /// Name of the tenant to which the bucket belongs.
    pub tenant: &'a str,
    /// Name of the bucket, as the client uses it.
    pub bucket: &'a str,
    /// The object's key, percent-decoded.
    pub key: &'a str,
}

/// A multipart upload at a storage node. The upload id that the client receives encodes both fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upload {
    /// Name of the rack that stores the parts.
    pub rack: String,
    /// The id that the storage node assigned to the upload.
    pub node_upload_id: String,
}

impl UploadKey {
    /// Minimum length of a secret, in bytes.
    pub const MIN_SECRET_LEN: usize = 16;

    /// Creates a key from a secret; returns `None` if the secret is shorter than [`Self::MIN_SECRET_LEN`].
    pub fn new(secret: &[u8]) -> Option<UploadKey> {
        (secret.len() >= Self::MIN_SECRET_LEN).then(|| UploadKey(secret.to_vec()))
    }

    /// Returns the upload id that the client receives. It is valid only for the object at `path`.
    pub fn sign(&self, path: ObjectPath, upload: &Upload) -> String {
        let payload = URL_SAFE_NO_PAD.encode(format!("{}\n{}", upload.rack, upload.node_upload_id));
        let mac = URL_SAFE_NO_PAD.encode(self.mac(path, &payload).finalize().into_bytes());
        format!("{payload}.{mac}")
    }

    /// Verifies and decodes an upload id from a client; returns `None` unless a gateway of this deployment
    /// signed it for the object at `path`.
    pub fn verify(&self, path: ObjectPath, id: &str) -> Option<Upload> {
        let (payload, mac) = id.split_once('.')?;
        let mac = URL_SAFE_NO_PAD.decode(mac).ok()?;
        self.mac(path, payload).verify_slice(&mac).ok()?;
        let text = String::from_utf8(URL_SAFE_NO_PAD.decode(payload).ok()?).ok()?;
        let (rack, node_upload_id) = text.split_once('\n')?;
        Some(Upload { rack: rack.into(), node_upload_id: node_upload_id.into() })
    }

    fn mac(&self, path: ObjectPath, payload: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any length is a valid key");
        for field in [path.tenant, path.bucket, path.key, payload] {
            // The length prefixes make the boundaries between fields unambiguous.
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field.as_bytes());
        }
        mac
    }
}
