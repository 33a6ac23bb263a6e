use super::*;

#[test]
fn the_docs_table_is_the_code() {
    let page = include_str!("../../../../docs/result-codes.md");
    for code in ResultCode::ALL {
        let back = code
            .comes_back()
            .map_or("–".to_owned(), |span| (span.0 / 1000).to_string());
        let (number, word, http) = (code.number(), code.word(), code.http_status());
        let row = format!(
            "| {number} | {word} | {http} | {back} | {} |",
            code.meaning()
        );
        assert!(page.contains(&row), "docs/result-codes.md lacks: {row}");
    }
}
