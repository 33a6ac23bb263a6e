use crate::interface::RunRecord;
use crate::upstream::chunk_reader::{ChunkReader, RelayedLine};
use yare::parameterized;

#[parameterized(
    whole = { 0, &["p0", "p1", "e2"], "gge" },
    read_on = { 3, &["p3", "e4"], "ge" },
    skips = { 0, &["p0", "p2"], "gc" },
    repeats = { 0, &["p0", "p0"], "gc" },
    of_another_run = { 0, &["p0", "o1"], "gc" },
    ends_early = { 0, &["p0", "e2"], "gc" },
    ends_late = { 0, &["p0", "e0"], "gc" },
    from_the_start_again = { 3, &["p0"], "c" },
    torn = { 0, &["p0", "t1"], "gc" },
    no_piece_at_all = { 0, &["x"], "c" },
)]
fn traces(from: u64, lines: &[&str], passed: &str) {
    let mut reader = ChunkReader::new("r".into(), from);
    let mut found = String::new();
    for line in lines {
        let n: u64 = line[1..].parse().unwrap_or(0);
        let piece = |run: &str| RunRecord::Chunk {
            run: run.into(),
            n,
            text: "t".into(),
        };
        let json = |piece: RunRecord| serde_json::to_string(&piece).expect("JSON");
        let text = match &line[..1] {
            "p" => json(piece("r")) + "\n",
            "o" => json(piece("other")) + "\n",
            "t" => json(piece("r")),
            "e" => {
                json(RunRecord::End {
                    run: "r".into(),
                    end: true,
                    pieces: n,
                }) + "\n"
            }
            _ => "{}\n".into(),
        };
        found.push(match reader.take(text.as_bytes()) {
            RelayedLine::Chunk(_) => 'g',
            RelayedLine::End(_) => 'e',
            RelayedLine::Abort(..) => 'c',
        });
    }
    assert_eq!(found, passed);
}
