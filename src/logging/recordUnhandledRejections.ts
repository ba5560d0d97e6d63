import type Logger from "bunyan";

/**
 * Logs promise rejections that nothing handles, from now on; by default, one would end the process and with it all other requests.
 * @param logger - The logger.
 */
export function recordUnhandledRejections(logger: Pick<Logger, "error">): void {
    process.on("unhandledRejection", error => {
        logger.error({ err: error instanceof Error ? error : new Error(String(error)) }, "unhandled promise rejection");
    });
}
