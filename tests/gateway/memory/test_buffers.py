import random

from troutswitch.gateway.memory.buffers import AnswerBuffer, BodyBuffer


def test_a_body_is_read_as_it_arrived_and_kept_no_longer() -> None:
    buffer = BodyBuffer()
    parts = [bytes([number % 256]) * (number * 37 % 5000) for number in range(200)]
    for part in parts:
        buffer.append(part)
    whole = b"".join(parts)
    assert len(buffer) == len(whole)
    assert buffer.getfile().read(10) == whole[:10]
    assert buffer.read() == whole[10:]
    assert (len(buffer), buffer.read()) == (0, b"")


def test_an_answer_is_sent_as_it_was_written_whatever_the_socket_takes() -> None:
    rng = random.Random(1)
    buffer = AnswerBuffer()
    written = sent = b""
    for _ in range(300):
        data = rng.randbytes(rng.choice((1, 50, 3000, 40_000)))
        buffer.append(data)
        written += data
        for _ in range(rng.randrange(3)):
            taken = buffer.get(rng.choice((1, 1000, 100_000)))
            taken = taken[: rng.randint(0, len(taken))]
            buffer.skip(len(taken), True)
            sent += taken
        assert len(buffer) == len(written) - len(sent)
    while data := buffer.get():
        buffer.skip(len(data), True)
        sent += data
    assert sent == written
    assert (len(buffer), buffer.oldest_at) == (0, None)


def test_a_closed_buffer_holds_nothing() -> None:
    buffer = AnswerBuffer()
    buffer.append(b"x" * 100_000)
    buffer.close()
    assert (len(buffer), buffer.get(), buffer.oldest_at) == (0, b"", None)
