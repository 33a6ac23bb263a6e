/// Random bytes from the system, for ids that must never come twice: a disk's, a life's.
pub fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0u8; N];
    let file = std::fs::File::open("/dev/urandom");
    let read = file.and_then(|mut file| std::io::Read::read_exact(&mut file, &mut bytes));
    read.expect("the system gives random bytes");
    bytes
}
