import { Agent, request } from "undici";

/**
 * Sends a lookup on a connection of its own and reads its answer as fast as it comes, to its end or until it is cut, without keeping it.
 * @param address - The host's address for callers.
 * @param path - The path.
 * @returns The number of bytes read.
 */
export async function readAndDiscard(address: string, path: string): Promise<number> {
    const dispatcher = new Agent({ pipelining: 0 });
    let bytes = 0;
    try {
        const { body } = await request(`http://${address}${path}`, {
            dispatcher,
            headers: {
                "host": "shop.example",
                "fuchsiapath-attempt-id": path,
                "fuchsiapath-deadline-ms": "2500",
                "authorization": "Bearer key-3",
            },
        });
        for await (const part of body) {
            bytes += (part as Buffer).length;
        }
    }
    catch {
        // Answers without an end are cut.
    }
    await dispatcher.destroy();
    return bytes;
}
