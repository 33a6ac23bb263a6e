use super::*;

#[test]
fn a_reader_sees_every_line_once_or_a_gap() {
    let log = DecisionLog::new(3);
    let now = Duration::ZERO;
    (0..2).for_each(|_| log.add(|n| format!("line {n}")));
    assert_eq!(log.after(0, 1, now), (vec!["line 1".into()], 1));
    assert_eq!(log.after(1, 9, now), (vec!["line 2".into()], 2));
    assert_eq!(log.after(2, 9, now), (vec![], 2));
    (0..4).for_each(|_| log.add(|n| format!("line {n}")));
    let (lines, cursor) = log.after(2, 9, now);
    assert_eq!(
        (lines[0].as_str(), lines.len(), cursor),
        (r#"{"gap":{"after":2,"next":4}}"#, 4, 6)
    );
    let (lines, cursor) = log.after(99, 1, now);
    assert_eq!(
        (lines[0].as_str(), lines[1].as_str(), cursor),
        (r#"{"gap":{"after":99,"next":4}}"#, "line 4", 4)
    );
}
