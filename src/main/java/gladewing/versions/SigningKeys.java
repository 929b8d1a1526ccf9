package gladewing.versions;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * The secret keys, by name, that sign versions, withdrawals and the answers of this router, by
 * HMAC-SHA-256. There are at most two keys, so that a new key can be introduced while the old one
 * is still valid.
 */
public final class SigningKeys {
    public static final int MAX_KEYS = 2;

    /** The output size of SHA-256; a shorter key would be easier to guess than the HMAC itself. */
    public static final int MIN_SECRET_BYTES = 32;

    private final Map<String, byte[]> secrets = new LinkedHashMap<>();

    /** Takes the secrets by key name, oldest first. */
    public SigningKeys(Map<String, byte[]> secrets) {
        this.secrets.putAll(secrets);
    }

    /** Returns null if the MAC of the text is valid, else why it can't be trusted. */
    public String signatureError(String keyName, String signedText, String mac) {
        byte[] secret = secrets.get(keyName);
        if (secret == null) {
            return "unknown key "
                    + keyName
                    + ", wanted: one of "
                    + String.join(", ", secrets.keySet());
        }
        byte[] received = mac.getBytes(StandardCharsets.US_ASCII);
        byte[] expected = sign(secret, signedText).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(received, expected)
                ? null
                : "the signature does not match key " + keyName;
    }

    /**
     * Returns null if the manifest is for the site and has a valid signature, else why it can't be
     * trusted.
     */
    public String manifestError(Manifest manifest, String site) {
        if (!manifest.site().equals(site)) {
            return "it is for site " + manifest.site() + ", this router belongs to site " + site;
        }
        return signatureError(manifest.keyName(), manifest.canonicalText(), manifest.mac());
    }

    /** Whether there is a key of that name. */
    public boolean contains(String keyName) {
        return secrets.containsKey(keyName);
    }

    /** Returns the name of the key listed last, which this side signs with; null without keys. */
    public String newestName() {
        String newest = null;
        for (String name : secrets.keySet()) {
            newest = name;
        }
        return newest;
    }

    /** Returns the HMAC-SHA-256 of the UTF-8 text under that key, in lower-case hexadecimal. */
    public String sign(String keyName, String text) {
        return sign(secrets.get(keyName), text);
    }

    private static String sign(byte[] secret, String text) {
        return new HmacUtils(HmacAlgorithms.HMAC_SHA_256, secret)
                .hmacHex(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the SHA-256 digest of the UTF-8 text, in lower-case hexadecimal. */
    public static String digest(String text) {
        return DigestUtils.sha256Hex(text.getBytes(StandardCharsets.UTF_8));
    }
}
