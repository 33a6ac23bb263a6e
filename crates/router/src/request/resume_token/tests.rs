use super::*;
use crate::request::resume_token::Token;
use types::TokenKey;

const KEY: TokenKey = TokenKey([7; 32]);

fn token(server: &str, run: &str) -> Token {
    Token {
        request: "o-1".into(),
        service: "drafts".into(),
        server: server.into(),
        run: run.into(),
    }
}

#[test]
fn a_token_comes_back_and_a_bent_one_does_not() {
    let token = token("127.0.0.1:9001", "a-1");
    let text = token.seal(&KEY);
    assert_eq!(Token::open(&text, &KEY), Some(token));
    for place in 0..text.len() {
        let mut bent = text.clone().into_bytes();
        bent[place] = if bent[place] == b'7' { b'8' } else { b'7' };
        assert_eq!(
            Token::open(&String::from_utf8(bent).unwrap(), &KEY),
            None,
            "bent at {place}"
        );
        assert_eq!(Token::open(&text[..place], &KEY), None, "cut at {place}");
    }
    assert_eq!(Token::open("zz", &KEY), None);
    assert_eq!(Token::open("ä", &KEY), None);
}

#[test]
fn nobody_makes_a_token_without_the_key_and_none_is_good_for_another_run_or_server() {
    let own = token("127.0.0.1:9001", "a-1").seal(&KEY);
    let forged = token("127.0.0.1:9001", "a-2").seal(&TokenKey([8; 32]));
    assert_eq!(Token::open(&forged, &KEY), None, "forged with another key");
    for other in [token("127.0.0.1:9001", "a-2"), token("10.0.0.1:80", "a-1")] {
        let text = other.seal(&KEY);
        let spliced = format!("{}{}", &own[..CHECK * 2], &text[CHECK * 2..]);
        assert_eq!(
            Token::open(&spliced, &KEY),
            None,
            "its own check on another's words"
        );
    }
}
