import { Readable } from "node:stream";
import { ByteCollector } from "../../utils/index.js";
import type { CapturedBodyOptions } from "./CapturedBodyOptions.js";

/**
 * Creates a stream of a response body that also captures the whole body, even after its reader has closed it. A body that is too
 * long to be captured is closed with its reader.
 * @param source - The body from the upstream.
 * @param options - The size limit, and the callback for the end of the body.
 */
export function createCapturedBody(source: Readable, options: CapturedBodyOptions): Readable {
    const captured = new ByteCollector();
    let bytes = 0;
    let hasReader = true;
    const body = new Readable({
        read: () => {
            source.resume();
        },
        destroy: (error, callback) => {
            drain();
            callback(error);
        },
    });
    const drain = (): void => {
        hasReader = false;
        source.resume();
        closeIfUnused();
    };
    const closeIfUnused = (): void => {
        if (!hasReader && bytes > options.maxBytes && !source.destroyed) {
            reportEnd(undefined);
            source.destroy();
        }
    };
    const reportEnd = (error: Error | undefined): void => {
        options.signal.removeEventListener("abort", drain);
        options.onEnd(bytes > options.maxBytes ? undefined : captured.getBytes(), error);
    };
    body.on("error", () => {});
    source.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes <= options.maxBytes) {
            captured.add(chunk);
        }
        if (!body.destroyed && !body.push(chunk) && hasReader) {
            source.pause();
        }
        closeIfUnused();
    });
    source.on("end", () => {
        reportEnd(undefined);
        body.push(null);
    });
    source.on("error", error => {
        reportEnd(error);
        body.destroy(error);
    });
    options.signal.addEventListener("abort", drain, { once: true });
    source.pause();
    if (options.signal.aborted) {
        drain();
    }
    return body;
}
