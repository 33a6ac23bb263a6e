//! Random bytes for ids.

/// Random bytes from `/dev/urandom`, for ids that must never come twice: a disk's, an
/// incarnation's.
///
/// # Panics
///
/// If the system gives none.
pub fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0u8; N];
    let file = std::fs::File::open("/dev/urandom");
    let read = file.and_then(|mut file| std::io::Read::read_exact(&mut file, &mut bytes));
    read.expect("the system gives random bytes");
    bytes
}
