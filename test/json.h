// A JSON value for tests: missing members read as null, 0 or "".
#ifndef TEST_JSON_H
#define TEST_JSON_H

#include <jansson.h>

#include <string>
#include <vector>

namespace cg {

class Json {
  public:
    Json() = default;
    // Takes the reference over.
    explicit Json(json_t *value) : value_(value)
    {
    }
    Json(const Json &other) : value_(json_incref(other.value_))
    {
    }
    Json &
    operator=(Json other)
    {
        std::swap(value_, other.value_);
        return *this;
    }
    ~Json()
    {
        json_decref(value_);
    }

    // Null when the text is no JSON.
    static Json
    Parse(const std::string &text)
    {
        return Json(
            json_loadb(text.data(), text.size(), JSON_DECODE_ANY, nullptr));
    }
    // A list of strings.
    static Json
    Texts(const std::vector<std::string> &texts)
    {
        Json list(json_array());
        for (const std::string &text : texts) {
            json_array_append_new(list.value_, json_string(text.c_str()));
        }
        return list;
    }

    Json
    operator[](const std::string &name) const
    {
        return Json(json_incref(json_object_get(value_, name.c_str())));
    }
    Json
    operator[](size_t index) const
    {
        return Json(json_incref(json_array_get(value_, index)));
    }

    Json &
    Set(const std::string &name, const Json &value)
    {
        Own();
        json_object_set(value_, name.c_str(), value.value_);
        return *this;
    }
    Json &
    Set(const std::string &name, const std::string &text)
    {
        return Set(name, Json(json_string(text.c_str())));
    }
    Json &
    Set(const std::string &name, const char *text)
    {
        return Set(name, Json(json_string(text)));
    }
    Json &
    Set(const std::string &name, int number)
    {
        return Set(name, Json(json_integer(number)));
    }
    Json &
    Set(const std::string &name, double number)
    {
        return Set(name, Json(json_real(number)));
    }
    Json &
    Set(const std::string &name, bool flag)
    {
        return Set(name, Json(json_boolean(flag)));
    }
    Json &
    Add(const Json &value)
    {
        if (value_ == nullptr) {
            value_ = json_array();
        }
        json_array_append(value_, value.value_);
        return *this;
    }

    bool
    IsNull() const
    {
        return value_ == nullptr || json_is_null(value_);
    }
    size_t
    Size() const
    {
        return json_is_object(value_) ? json_object_size(value_)
                                      : json_array_size(value_);
    }
    std::string
    Str() const
    {
        const char *text = json_string_value(value_);
        return text != nullptr ? text : "";
    }
    long long
    Int() const
    {
        return json_integer_value(value_);
    }
    double
    Number() const
    {
        return json_number_value(value_);
    }
    bool
    True() const
    {
        return json_is_true(value_);
    }
    std::string
    Dump() const
    {
        char *text = json_dumps(value_, JSON_COMPACT | JSON_ENCODE_ANY);
        std::string out = text != nullptr ? text : "null";
        free(text);
        return out;
    }

  private:
    void
    Own()
    {
        if (value_ == nullptr) {
            value_ = json_object();
        }
    }

    json_t *value_ = nullptr;
};

} // namespace cg

#endif
