//! Comparison of bearer tokens by their digests.

use subtle::ConstantTimeEq;

use crate::config::token_digest;

/// Name of the holder of `token`; compares with every holder in constant time.
pub(super) fn holder<'a>(
    token: &str,
    holders: impl Iterator<Item = (&'a str, &'a str)>,
) -> Option<&'a str> {
    let presented = token_digest(token);
    let mut found = None;
    for (name, digest) in holders {
        let digest = digest.to_ascii_lowercase();
        if bool::from(digest.as_bytes().ct_eq(presented.as_bytes())) {
            found = Some(name);
        }
    }
    found
}
