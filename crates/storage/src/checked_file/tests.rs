use super::*;

#[test]
fn a_damaged_or_torn_file_is_noticed() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(read_file(folder.path(), "checked_file").unwrap(), None);
    write_file(folder.path(), "checked_file", &[b"some ", b"words"]).unwrap();
    assert_eq!(
        read_file(folder.path(), "checked_file").unwrap(),
        Some(b"some words".to_vec())
    );
    let intact = fs::read(folder.path().join("checked_file")).unwrap();
    for place in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[place] ^= 1;
        fs::write(folder.path().join("checked_file"), &damaged).unwrap();
        assert!(
            read_file(folder.path(), "checked_file").is_err(),
            "byte {place} bent unnoticed"
        );
        fs::write(folder.path().join("checked_file"), &intact[..place]).unwrap();
        assert!(
            read_file(folder.path(), "checked_file").is_err(),
            "torn at {place} unnoticed"
        );
    }
}
