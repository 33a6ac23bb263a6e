use super::*;

#[test]
fn a_reader_sees_every_line_once_or_a_gap() {
    let journal = Journal::new(3);
    let now = Duration::ZERO;
    (0..2).for_each(|_| journal.add(|n| format!("line {n}")));
    assert_eq!(journal.after(0, 1, now), (vec!["line 1".into()], 1));
    assert_eq!(journal.after(1, 9, now), (vec!["line 2".into()], 2));
    assert_eq!(journal.after(2, 9, now), (vec![], 2));
    (0..4).for_each(|_| journal.add(|n| format!("line {n}")));
    let (lines, cursor) = journal.after(2, 9, now);
    assert_eq!(
        (lines[0].as_str(), lines.len(), cursor),
        (r#"{"gap":{"after":2,"next":4}}"#, 4, 6)
    );
    let (lines, cursor) = journal.after(99, 1, now);
    assert_eq!(
        (lines[0].as_str(), lines[1].as_str(), cursor),
        (r#"{"gap":{"after":99,"next":4}}"#, "line 4", 4)
    );
}
