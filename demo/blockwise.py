"""Block-wise download (RFC 7959) with concurrent block requests."""

from asyncio import get_running_loop, sleep

from aiocoap import CONTENT, GET, SERVICE_UNAVAILABLE, Message

from demo.coap import LostError, build_message

BLOCK_BYTES = 1024
BLOCK_SIZE_EXPONENT = 6
DOWNLOAD_WINDOW = 16
MAX_BLOCK_REFUSALS = 10
BLOCK_DEADLINE_S = 60.0


class BlockwiseDownload:
    """One block-wise download of a reel."""

    def __init__(self, caller, size: int, window: int):
        self._caller = caller
        self._size = size
        self._window = window
        self._etag = None
        self._blocks: dict[int, bytes] = {}

    async def download(self) -> bytes:
        """Return the whole reel.

        Raises
        ------
        LostError
            If a block is lost, answered with an error, or refused
            MAX_BLOCK_REFUSALS times.
        """
        count = -(-self._size // BLOCK_BYTES)
        numbers = iter(range(count))
        await self._fetch(next(numbers))
        workers = [
            get_running_loop().create_task(self._fetch_blocks(numbers))
            for _worker in range(self._window)
        ]
        try:
            for worker in workers:
                await worker
        finally:
            for worker in workers:
                worker.cancel()
        return b"".join(self._blocks[number] for number in range(count))

    async def _fetch_blocks(self, numbers):
        for number in numbers:
            await self._fetch(number)

    async def _fetch(self, number: int):
        for _attempt in range(MAX_BLOCK_REFUSALS):
            message = build_message(
                GET,
                uri_path=("reel",),
                uri_query=(
                    f"service={self._caller.options.service}",
                    f"size={self._size}",
                ),
                block2=(number, False, BLOCK_SIZE_EXPONENT),
            )
            answer = await self._caller.request(message, BLOCK_DEADLINE_S)
            if answer.code == CONTENT:
                self._store_block(number, answer)
                return
            if answer.code != SERVICE_UNAVAILABLE:
                break
            await sleep(answer.opt.max_age or 1)
        raise LostError

    def _store_block(self, number: int, answer: Message):
        if self._etag is None:
            self._etag = answer.opt.etag
        block = answer.opt.block2
        if answer.opt.etag != self._etag or block.block_number != number:
            self._caller.account.wrong_answers.append(f"{self._caller.name} {number}")
        self._blocks[number] = answer.payload
