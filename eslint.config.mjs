import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**"] },
    {
        files: ["src/**/*.ts", "platform/**/*.ts", "tests/**/*.ts"],
        extends: [...tseslint.configs.recommended],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/explicit-module-boundary-types": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: ["function", "classMethod"], format: ["camelCase"] },
                { selector: "variable", format: ["camelCase", "UPPER_CASE"] },
            ],
            "@typescript-eslint/no-restricted-types": "off",
            // Each concept adds its calls to this interface.
            "@typescript-eslint/no-empty-object-type": ["error", { allowWithName: "^PeerMethods$" }],
            eqeqeq: "error",
            curly: ["error", "all"],
            "prefer-const": "error",
        },
    },
);
