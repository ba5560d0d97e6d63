import type { Readable } from "node:stream";
import { MemoryShortError } from "../errors/index.js";
import { BodyBuffer } from "./BodyBuffer.js";
import type { BodyKind } from "./BodyKind.js";
import type { BodyPlace } from "./BodyPlace.js";
import type { BodyRoom } from "./BodyRoom.js";
import type { GarbageCollector } from "./GarbageCollector.js";
import type { HeldBody } from "./HeldBody.js";
import type { ReadOptions } from "./ReadOptions.js";

/** What is reserved for a body of unknown length before it is read, in bytes. */
const FIRST_BYTES = 64 * 1024;

/** Reads bodies as far as there is memory for them. */
export class BodyReader {
    readonly #room: BodyRoom;
    readonly #kind: BodyKind;
    readonly #garbage: GarbageCollector;

    /**
     * @param room - The room for bodies.
     * @param kind - The kind of the bodies.
     * @param garbage - Collects the buffers of received bytes.
     */
    constructor(room: BodyRoom, kind: BodyKind, garbage: GarbageCollector) {
        this.#room = room;
        this.#kind = kind;
        this.#garbage = garbage;
    }

    /**
     * Reads a body; returns undefined if it is longer than the limit. Rejects with a MemoryShortError if there is no memory for it or
     * it comes too slowly, and otherwise with the error of the stream.
     * @param stream - The body.
     * @param options - Its limit, its length if that is known, and its time.
     */
    async read(stream: Readable, { maxBytes, length, timeoutMs }: ReadOptions): Promise<HeldBody | undefined> {
        if (length !== undefined && length > maxBytes) {
            return undefined;
        }
        if (length === 0) {
            return { bytes: Buffer.alloc(0), release: () => {} };
        }
        const eviction = new AbortController();
        const place = this.#room.create(this.#kind, timeoutMs, detail => eviction.abort(new MemoryShortError(detail)));
        const release = (): void => this.#room.release(place);
        stream.once("close", () => place.isComplete || release());
        if (!await this.#room.claim(place, length ?? Math.min(FIRST_BYTES, maxBytes))) {
            throw new MemoryShortError("There is no memory for the body now.");
        }
        const content = new BodyBuffer(maxBytes, length);
        let isWhole = false;
        try {
            isWhole = await this.#receive(stream, content, place, maxBytes, eviction.signal);
        }
        finally {
            if (!isWhole) {
                content.close();
                release();
            }
        }
        if (!isWhole) {
            return undefined;
        }
        return { bytes: content.getContent(), release };
    }

    /** Receives a body into a buffer; returns whether it is within the limit. */
    #receive(
        stream: Readable,
        content: BodyBuffer,
        place: BodyPlace,
        maxBytes: number,
        signal: AbortSignal,
    ): Promise<boolean> {
        return new Promise((resolve, reject) => {
            let isStopped = false;
            const stop = (): void => {
                isStopped = true;
                stream.off("data", receiveData).off("end", receiveEnd).off("error", receiveError).off(
                    "close",
                    receiveClose,
                );
                signal.removeEventListener("abort", receiveAbort);
            };
            let isExtending = false;
            let hasEnded = false;
            const receiveEnd = (): void => {
                hasEnded = true;
                this.#room.recordEnd(place);
                // The end of a paused stream may come before its last bytes have been added.
                if (!isExtending) {
                    stop();
                    resolve(true);
                }
            };
            const receiveError = (error: Error): void => {
                stop();
                reject(error);
            };
            const receiveClose = (): void => {
                if (!hasEnded) {
                    receiveError(new Error("The body has ended early."));
                }
            };
            const receiveAbort = (): void => {
                receiveError(signal.reason as Error);
                stream.resume();
            };
            const receiveData = (chunk: Buffer): void => {
                this.#room.receive(place, chunk.length);
                this.#garbage.record(chunk.length);
                if (content.getLength() + chunk.length > maxBytes) {
                    stop();
                    resolve(false);
                    return;
                }
                const capacity = content.getCapacityFor(chunk.length);
                if (capacity <= place.bytes) {
                    content.add(chunk);
                    return;
                }
                stream.pause();
                isExtending = true;
                void this.#room.claim(place, capacity).then(isGranted => {
                    if (isStopped) {
                        return;
                    }
                    if (!isGranted) {
                        receiveError(new MemoryShortError("There is no memory for the rest of the body now."));
                        stream.resume();
                        return;
                    }
                    isExtending = false;
                    content.add(chunk);
                    if (hasEnded) {
                        receiveEnd();
                        return;
                    }
                    stream.resume();
                });
            };
            stream.on("data", receiveData).once("end", receiveEnd).on("error", receiveError).once(
                "close",
                receiveClose,
            );
            signal.addEventListener("abort", receiveAbort, { once: true });
            if (signal.aborted) {
                receiveAbort();
            }
            else if (stream.destroyed) {
                receiveClose();
            }
        });
    }
}
